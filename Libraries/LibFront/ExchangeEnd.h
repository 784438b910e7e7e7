#pragma once

#include "LibForward/AttemptFailure.h"
#include "LibFront/HttpTypes.h"

#include <optional>

namespace Front
{
/// How one request to a replica ended on its connection.
struct exchange_end {
    std::optional<reply_message> reply; ///< Set if the whole answer to this request arrived.
    Forward::attempt_failure failure = Forward::attempt_failure::ConnectionLost; ///< Otherwise: NotSent or Broken.
};
} // namespace Front
