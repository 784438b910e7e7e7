#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <string>

namespace Query
{
/// The parts of a request id that a caller made for one daemon: VM-incarnation.time.random, with the incarnation in
/// hexadecimal and the time in milliseconds since 1970. Only the daemon named may ever start the request.
struct request_identity {
    std::string virtualMachine;
    std::uint64_t incarnation = 0; ///< The daemon's life, as given by /v1/entries.
    Core::wall_time madeAt;
    std::string random; ///< Tells requests made in the same millisecond apart.

    bool operator==(const request_identity &) const = default;
};
} // namespace Query
