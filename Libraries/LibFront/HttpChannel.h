#pragma once

#include "LibCore/Time.h"
#include "LibFront/ReplicaExchange.h"
#include "LibFront/TimerQueue.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Front
{
class replica_connection;

/// Sends sequential requests to one server over a persistent connection. After a timeout the connection is discarded,
/// so that a late response cannot be attributed to the next request.
class http_channel
{
public:
    http_channel(boost::asio::io_context &loop, timer_queue &timers, boost::asio::ip::tcp::endpoint server);
    ~http_channel();
    http_channel(const http_channel &) = delete;
    http_channel &operator=(const http_channel &) = delete;

    /// Sends a complete request. No other call may be in progress.
    void call(std::string text, Core::duration timeout, std::function<void(exchange_result)> onComplete);
    [[nodiscard]] bool isBusy() const;

private:
    void onTimeout();
    void finish(exchange_result result);

    boost::asio::io_context &m_loop;
    timer_queue &m_timers;
    boost::asio::ip::tcp::endpoint m_server;
    std::shared_ptr<replica_connection> m_connection;
    std::optional<timer_queue::handle> m_timeout;
    std::function<void(exchange_result)> m_onComplete;
};
} // namespace Front
