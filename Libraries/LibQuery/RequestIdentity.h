#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <string>

namespace Query
{
/// The parsed form of a request id that a caller created for one daemon: VM-incarnation.time.random, with the
/// incarnation in hexadecimal and the time in milliseconds since 1970. Only the daemon named in it may start the
/// request.
struct request_identity {
    std::string virtualMachine;
    std::uint64_t incarnation = 0; ///< Identifies one run of the daemon's process; returned to callers by /v1/entries.
    Core::wall_time createdAt; ///< When the caller created the id, by the caller's clock.
    std::string random; ///< Distinguishes requests created in the same millisecond.

    bool operator==(const request_identity &) const = default;
};
} // namespace Query
