#pragma once

#include "LibTeams/TeamRates.h"

#include <cstdint>
#include <map>

namespace Teams
{
/// One daemon's part of the sums of all daemons (push-sum). Parts move between daemons; over all daemons together each
/// sum stays what was put in, so that sum / weight at any daemon approaches the mean over the daemons.
struct usage_sums {
    double weight = 0.0; ///< Each daemon puts in 1.
    std::map<std::uint32_t, team_rates> sums; ///< By teamKey().
    bool operator==(const usage_sums &) const = default;
};
} // namespace Teams
