#pragma once

#include "LibCore/Time.h"
#include "LibForward/ActiveHistory.h"

#include <optional>

namespace Forward
{
/// What a daemon remembers about those that share the fleet's limits with it.
struct sharing_state {
    bool isActive = false; ///< This daemon is one of those that callers are directed to.
    active_history ownDataCentre;
    active_history fleet;
    /// Since when this daemon has been active and has seen a majority of its data centre, without interruption.
    std::optional<Core::time_point> activeSince;
};
} // namespace Forward
