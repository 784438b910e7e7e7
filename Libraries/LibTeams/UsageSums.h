#pragma once

#include "LibTeams/TeamRates.h"

#include <cstdint>
#include <map>

namespace Teams
{
/// One daemon's part of the sums over all daemons (push-sum gossip). Exchanges move parts between daemons and preserve
/// the totals, so that sum / weight at each daemon converges to the mean over the daemons.
struct usage_sums {
    double weight = 0.0; ///< Each daemon contributes 1 per epoch.
    std::map<std::uint32_t, team_rates> sums; ///< By teamKey().
    bool operator==(const usage_sums &) const = default;
};
} // namespace Teams
