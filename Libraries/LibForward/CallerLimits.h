#pragma once

#include "LibCore/Time.h"

#include <cstddef>

namespace Forward
{
/// Limits on the size and duration of a caller's request. The defaults apply until a configuration has been received.
struct caller_limits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 1048576;
    Core::duration headerTimeout = std::chrono::seconds(5);
    Core::duration idleTimeout = std::chrono::seconds(30);
};
} // namespace Forward
