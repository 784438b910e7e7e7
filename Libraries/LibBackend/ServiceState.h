#pragma once

#include "LibBackend/NameHash.h"
#include "LibBackend/ReplicaState.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Backend
{
/// All replicas of one service as this daemon sees them. The daemon keeps one per service, each under its own lock.
struct service_state {
    std::vector<replica_state> replicas; ///< Indices are stable while the replica is in use.
    /// Indices into replicas, by shard name.
    std::unordered_map<std::string, std::vector<std::size_t>, name_hash, std::equal_to<>> byShard;
    /// Indices into replicas, by replica name.
    std::unordered_map<std::string, std::size_t, name_hash, std::equal_to<>> byName;
    std::uint32_t slotsPerReplica = 2;
    std::uint32_t coldSlots = 1; ///< Requests that a replica in cold start bears at once, over all daemons.
    Core::duration longestRequest {}; ///< The longest deadline of the service's routes.
    std::uint64_t configuration = 0; ///< Number of the configuration in force; 0: none yet.

    bool ownershipKnown = false; ///< False: no view yet, this daemon acts as the only one.
    Core::time_point ownershipConfirmedAt;
    std::uint32_t connectionsPerReplica = 0; ///< 0: not limited by a view.

    double warmLatencySeconds = 0.0; ///< Weighted mean over all warm replicas; 0: no answer yet.
    double slowestRecentSeconds = 0.0; ///< Decaying maximum over all replicas.
};
} // namespace Backend
