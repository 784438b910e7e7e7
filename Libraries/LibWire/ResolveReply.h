#pragma once

#include <cstdint>
#include <string>

namespace Wire
{
/// What the daemon that a request id names knows about the request. The values are those of the at-most-once register.
struct resolve_reply {
    std::uint8_t state = 0;
    std::string answer; ///< The encoded answer, where the request was answered.
    std::uint16_t status = 0; ///< HTTP status of the answer, where the request was answered.
};
} // namespace Wire
