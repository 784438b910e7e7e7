#pragma once

#include "LibCore/Time.h"

namespace Forward
{
/// How many repeats this daemon may send to one service within any window.
struct repeat_limits {
    double ratio = 0.2; ///< Repeats a first request earns, over all daemons alike.
    double slack = 0.0; ///< This daemon's part of the repeats that are free in a window.
    Core::duration window = std::chrono::seconds(10);
    Core::time_point startedAt {}; ///< When this daemon began to send.
};
} // namespace Forward
