#pragma once

#include "LibForward/AttemptFailure.h"
#include "LibFront/HttpTypes.h"

#include <optional>

namespace Front
{
/// The result of one request to a replica on its connection.
struct exchange_result {
    std::optional<reply_message> reply; ///< Set if the complete response to this request arrived.
    /// NotSent, Withdrawn or ConnectionLost; meaningful only if there is no reply.
    Forward::attempt_failure failure = Forward::attempt_failure::ConnectionLost;
};
} // namespace Front
