#pragma once

#include "LibCore/Time.h"

#include <cstddef>

namespace Forward
{
/// Bounds on what a caller may send and how long it may take. The defaults hold until a configuration is known.
struct caller_limits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 1048576;
    Core::duration headerTimeout = std::chrono::seconds(5);
    Core::duration idleTimeout = std::chrono::seconds(30);
};
} // namespace Forward
