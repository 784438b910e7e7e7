#pragma once

#include <map>
#include <string>

namespace Configuration
{
/// The shard map of one snapshot of a service's index. Repartitioning creates a snapshot with different shards.
struct snapshot_settings {
    std::map<std::string, double> shardWeights; ///< Relative size of each shard, by shard name; above 0.
    bool operator==(const snapshot_settings &) const = default;
};
} // namespace Configuration
