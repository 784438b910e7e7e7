#pragma once

#include <cstdint>
#include <string>

namespace Wire
{
/// The state of a non-idempotent request at the daemon that is named in its id. The values are those of the
/// at-most-once register.
struct resolve_reply {
    std::uint8_t state = 0;
    std::string answer; ///< The encoded answer, if the request was answered.
    std::uint16_t status = 0; ///< HTTP status of the answer, if the request was answered.
};
} // namespace Wire
