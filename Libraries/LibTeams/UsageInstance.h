#pragma once

#include "LibTeams/UsageSums.h"

namespace Teams
{
/// The sums of one epoch at this daemon.
struct usage_instance {
    usage_sums part;
    std::map<std::uint32_t, team_rates> injected; ///< What this daemon has put in so far; only changes are added.
    std::map<std::uint32_t, team_rates> fresh; ///< What of it has not yet left this daemon; it says nothing of others.
};
} // namespace Teams
