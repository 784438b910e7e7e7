#pragma once

#include "LibCore/Time.h"
#include "LibFront/ExchangeResult.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Front
{
/// One request to a replica.
struct replica_exchange {
    std::uint64_t ticket = 0;
    /// Builds the complete request at the time of sending, because the request states the remaining time. Returns
    /// nothing if the request must not be sent any more.
    std::function<std::optional<std::string>(Core::time_point)> makeText;
    std::string requestId; ///< A response with a different id belongs to another request.
    bool isHead = false; ///< The response has no body.
    bool needsFreshConnection = false; ///< Avoid a connection that the replica may be about to close.
    std::function<void(exchange_result)> onComplete;
};
} // namespace Front
