#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <deque>

namespace Forward
{
/// How many daemons there were lately. Those that have just gone out of sight may still send, and have spent their part
/// of what the fleet may send in a window.
struct fleet_width {
    struct sighting {
        Core::time_point at; ///< When so many were last seen.
        std::size_t daemons = 0;
    };
    std::deque<sighting> sightings; ///< The oldest first, each with fewer daemons than the one before.
};

/// Takes the present count and returns the highest of the latest `memory`.
[[nodiscard]] std::size_t widestFleet(fleet_width &width, std::size_t daemons, Core::duration memory,
                                      Core::time_point now);
} // namespace Forward
