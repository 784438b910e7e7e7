#pragma once

#include "LibFront/ExchangeEnd.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Front
{
/// One request to a replica.
struct replica_exchange {
    std::uint64_t ticket = 0;
    std::string text; ///< The whole request.
    std::string requestId; ///< An answer that names another one belongs to another request.
    bool isHead = false; ///< The answer has no body.
    bool needsFreshConnection = false; ///< The request must not meet a connection that the replica may just close.
    std::function<void(exchange_end)> onEnd;
};
} // namespace Front
