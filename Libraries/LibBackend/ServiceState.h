#pragma once

#include "LibBackend/ReplicaState.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Backend
{
/// All replicas of one service as this daemon sees them. The daemon keeps one per service, each under its own lock.
struct service_state {
    std::vector<replica_state> replicas; ///< Indices are stable while the replica is in use.
    std::map<std::string, std::vector<std::size_t>> byShard; ///< Indices into replicas, by shard name.
    std::uint32_t slotsPerReplica = 2;
};
} // namespace Backend
