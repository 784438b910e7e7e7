#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <deque>

namespace Forward
{
/// Recent sizes of the fleet. Daemons that have just left the membership view may still send requests, and have used up
/// their part of what the fleet may send in a window.
struct fleet_size_history {
    struct fleet_size_sample {
        Core::time_point lastSeenAt; ///< When the fleet last had this size.
        std::size_t daemons = 0;
    };
    std::deque<fleet_size_sample> samples; ///< Oldest first, with strictly decreasing sizes.
};

/// Records the current number of live daemons and returns the maximum within the last `retention`.
[[nodiscard]] std::size_t maximumFleetSize(fleet_size_history &history, std::size_t daemons, Core::duration retention,
                                           Core::time_point now);
} // namespace Forward
