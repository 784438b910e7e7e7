#pragma once

#include "LibTeams/UsageSums.h"

namespace Teams
{
/// State of one epoch at this daemon.
struct usage_instance {
    usage_sums localSums;
    std::map<std::uint32_t, team_rates> contributed; ///< This daemon's contribution so far; only changes are added.
    /// Part of this daemon's contribution that has not been sent, and so says nothing about the sums of other daemons.
    std::map<std::uint32_t, team_rates> unsent;
};
} // namespace Teams
