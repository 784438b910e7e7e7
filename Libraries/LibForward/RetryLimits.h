#pragma once

#include "LibCore/Time.h"

namespace Forward
{
/// How many retries and hedges this daemon may send to one service within any window.
struct retry_limits {
    double ratio = 0.2; ///< Retries allowed for each first attempt; the same on all daemons.
    double slack = 0.0; ///< This daemon's part of the retries that each window allows regardless of traffic.
    Core::duration window = std::chrono::seconds(10);
    Core::time_point activeSince {}; ///< Since when this daemon has held its part of the slack.
};
} // namespace Forward
