#pragma once

#include "LibCore/Time.h"
#include "LibTeams/TeamRates.h"

namespace Teams
{
/// One team's admission at one daemon. The daemon keeps one under a lock for each team.
struct team_admission {
    double factor = 1.0; ///< Part of the offered shard requests that may be admitted.
    double credit = 0.0; ///< Shard requests that may be admitted now; below zero after large queries and alerts.
    double largestCost = 0.0; ///< The largest recent query in shard requests; it forgets slowly.
    double claim = 0.0; ///< Demand of all daemons, in shard requests per second; rises at once and falls slowly.
    double overdrawn = 0.0; ///< Shard requests that all daemons admitted beyond the team's part of the pool.
    double offeredSince = 0.0; ///< Shard requests offered since the last update of the rates.
    double admittedSince = 0.0;
    team_rates recent; ///< Rates at this daemon over the last moments; noisy.
    team_rates rates; ///< Steadier rates at this daemon, for its peers.
    Core::time_point updatedAt; ///< When the rates were last updated.
};
} // namespace Teams
