#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <deque>

namespace Forward
{
/// Recent sizes of the fleet. Daemons that have just left the membership view may still send requests, and have used up
/// their part of what the fleet may send in a window.
struct fleet_width {
    struct sighting {
        Core::time_point at; ///< When the fleet last had this size.
        std::size_t daemons = 0;
    };
    std::deque<sighting> sightings; ///< Oldest first, with strictly decreasing sizes.
};

/// Records the current number of live daemons and returns the maximum within the last `memory`.
[[nodiscard]] std::size_t widestFleet(fleet_width &width, std::size_t daemons, Core::duration memory,
                                      Core::time_point now);
} // namespace Forward
