#pragma once

#include "LibForward/CallerLimits.h"
#include "LibFront/ExchangeHandler.h"
#include "LibFront/TimerQueue.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace Front
{
class caller_connection;

/// State shared by all connections of one listening server.
struct server_state {
    timer_queue &timers;
    exchange_handler handler;
    std::function<Forward::caller_limits()> limits; ///< Returns the limits currently in force.
    std::unordered_map<caller_connection *, std::weak_ptr<caller_connection>> connections;
    bool stopping = false; ///< Every response closes its connection.
};
} // namespace Front
