#pragma once

#include "LibBackend/CancellationRecord.h"
#include "LibBackend/ExtraLoadBudget.h"
#include "LibBackend/LatencyTracker.h"
#include "LibBackend/NameHash.h"
#include "LibBackend/PeerState.h"
#include "LibBackend/ReplicaState.h"
#include "LibBackend/ServiceLoad.h"
#include "LibBackend/ShardOwners.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Backend
{
/// This daemon's view of one service and its replicas. The daemon keeps one instance per service, each under its own
/// lock.
struct service_state {
    std::vector<replica_state> replicas; ///< Indices are stable while the replica is in use.
    /// Indices into replicas, by shard name.
    std::unordered_map<std::string, std::vector<std::size_t>, name_hash, std::equal_to<>> byShard;
    /// Indices into replicas, by replica name.
    std::unordered_map<std::string, std::size_t, name_hash, std::equal_to<>> byName;
    std::uint32_t slotsPerReplica = 2;
    std::uint32_t coldSlots = 1; ///< Concurrent requests that a replica in slow start may receive, over all daemons.
    Core::duration maximumRequestDuration {}; ///< The longest deadline of the service's routes.
    std::uint64_t configuration = 0; ///< Number of the configuration in force; 0: none yet.

    bool hasOwnershipView = false; ///< False: no view yet, this daemon acts as the only one in the fleet.
    Core::time_point ownershipConfirmedAt;
    std::uint32_t connectionsPerReplica = 0; ///< 0: not limited by a view.

    Core::real_seconds warmLatency {}; ///< Weighted mean over all warm replicas; 0: no response yet.
    Core::real_seconds unloadedLatency {}; ///< As above, over responses that reported a free slot; 0: none yet.
    Core::real_seconds recentMaximumLatency {}; ///< Decaying maximum over all replicas.
    std::string
        currentSnapshot; ///< From the configuration; queries that started earlier may be pinned to an older one.
    latency_tracker firstAttemptLatencies; ///< Of first attempts only, so that hedges do not affect the hedging delay.
    extra_load_budget extraLoad;
    cancellation_record cancellations;
    service_load load;
    /// The owners of each shard, by shard name. A shard that is absent is owned by this daemon.
    std::unordered_map<std::string, shard_owners, name_hash, std::equal_to<>> ownersByShard;
    std::unordered_map<std::string, peer_state, name_hash, std::equal_to<>> peers; ///< By the daemon's name.
};
} // namespace Backend
