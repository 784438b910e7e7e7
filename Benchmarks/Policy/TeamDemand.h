#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Bench
{
/// Demand in shard requests per second, by team and daemon.
using team_demand = std::map<std::string, std::vector<double>>;

/// Spreads a rate evenly over `count` daemons, from `first` on.
[[nodiscard]] inline std::vector<double> spreadDemand(std::size_t daemons, std::size_t first, std::size_t count,
                                                      double total)
{
    std::vector<double> rates(daemons, 0.0);
    for (std::size_t index = 0; index < count; ++index) {
        rates[(first + index) % daemons] += total / static_cast<double>(count);
    }
    return rates;
}
} // namespace Bench
