#pragma once

#include <map>
#include <string>

namespace Configuration
{
/// One snapshot of a service's index: its shard map. A repartition is a snapshot with other shards.
struct snapshot_settings {
    std::map<std::string, double> shardWeights; ///< Share of the index in each shard, by shard name; above 0.
    bool operator==(const snapshot_settings &) const = default;
};
} // namespace Configuration
