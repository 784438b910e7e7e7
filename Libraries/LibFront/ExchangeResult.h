#pragma once

#include "LibForward/AttemptFailure.h"
#include "LibFront/HttpTypes.h"
#include "LibFront/ResponseFault.h"

#include <optional>

namespace Front
{
/// The result of one request to a replica on its connection.
struct exchange_result {
    std::optional<reply_message> reply; ///< Set if the complete response to this request arrived.
    /// NotSent, Withdrawn or ConnectionLost; meaningful only if there is no reply.
    Forward::attempt_failure failure = Forward::attempt_failure::ConnectionLost;
    std::optional<response_fault> fault; ///< With ConnectionLost: set if bytes arrived that are no response.
};
} // namespace Front
