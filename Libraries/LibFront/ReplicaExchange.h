#pragma once

#include "LibCore/Time.h"
#include "LibFront/ExchangeEnd.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Front
{
/// One request to a replica.
struct replica_exchange {
    std::uint64_t ticket = 0;
    /// Makes the whole request at the moment when it is sent: it says how much time is left by then.
    std::function<std::string(Core::time_point)> makeText;
    std::string requestId; ///< An answer that names another one belongs to another request.
    bool isHead = false; ///< The answer has no body.
    bool needsFreshConnection = false; ///< The request must not meet a connection that the replica may just close.
    std::function<void(exchange_end)> onEnd;
};
} // namespace Front
