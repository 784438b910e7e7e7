#pragma once

#include "LibTeams/TeamDemand.h"

#include <vector>

namespace Teams
{
/// Divides the capacity of the pool between teams. Each team is granted its demand up to its share; the remaining
/// capacity is lent to teams with more demand, in proportion to their shares. Returns the granted shard requests per
/// second in the order of the claims.
[[nodiscard]] std::vector<double> divideCapacity(const std::vector<team_demand> &claims, double capacity);
} // namespace Teams
