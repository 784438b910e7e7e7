#pragma once

#include "Policy/FakeReplicaSettings.h"

#include <cstddef>

namespace Bench
{
/// Returns the rate of queries that keeps this part of all slots busy when every query asks every shard once.
[[nodiscard]] inline double queriesPerSecond(double load, std::size_t replicasPerShard,
                                             const fake_replica_settings &replica)
{
    const double meanFactor = 1.0 + replica.stragglerPart * (replica.stragglerFactor - 1.0);
    const Core::real_seconds mean = replica.serviceTime * meanFactor;
    return load * static_cast<double>(replicasPerShard) * replica.slots / mean.count();
}
} // namespace Bench
