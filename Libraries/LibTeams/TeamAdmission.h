#pragma once

#include "LibCore/Time.h"
#include "LibTeams/TeamRates.h"

namespace Teams
{
/// Admission state of one team at one daemon. The daemon protects it by a lock for each team.
struct team_admission {
    double factor = 1.0; ///< Fraction of the offered shard requests that is admitted.
    double credit = 0.0; ///< Shard requests that may be admitted now; negative after large queries and alerts.
    double largestCost = 0.0; ///< Cost of the largest recent query in shard requests; decays slowly.
    double claim = 0.0; ///< Demand at all daemons, in shard requests per second; increases at once and decays slowly.
    double overdraft = 0.0; ///< Shard requests that all daemons admitted beyond the team's granted part of the pool.
    double offeredSinceUpdate = 0.0; ///< Shard requests offered since the last update of the rates.
    double admittedSinceUpdate = 0.0;
    team_rates recent; ///< Rates at this daemon over a short time; noisy.
    team_rates rates; ///< Smoothed rates at this daemon, sent to its peers.
    Core::time_point updatedAt; ///< When the rates were last updated.
};
} // namespace Teams
