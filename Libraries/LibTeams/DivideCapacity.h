#pragma once

#include "LibTeams/TeamDemand.h"

#include <vector>

namespace Teams
{
/// Divides the pool between teams: each gets its demand up to its share, and what is left over is lent to those who
/// want more, in proportion to their shares. Returns shard requests per second in the order of the claims.
[[nodiscard]] std::vector<double> divideCapacity(const std::vector<team_demand> &claims, double capacity);
} // namespace Teams
