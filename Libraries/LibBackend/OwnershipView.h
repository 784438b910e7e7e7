#pragma once

#include "LibBackend/ShardOwners.h"

#include <cstdint>
#include <map>
#include <string>

namespace Backend
{
/// The owners of one service's shards, as computed by LibMembership from the live members. The daemon passes a new view
/// to applyOwnership() on each change of membership or configuration.
struct ownership_view {
    std::map<std::string, shard_owners> byShard; ///< By shard name. A shard that is absent is owned by this daemon.
    /// By replica name: this daemon's rank, from 0, among the owners that may run the replica's slow start, normally
    /// those in its data centre. The owner with rank 0 runs it. Absent: this daemon has no rank.
    std::map<std::string, std::uint32_t> slowStartRanks;
    /// By replica name: the daemon with rank 0. Absent: none is known.
    std::map<std::string, std::string> slowStartOwners;
    std::uint32_t connectionsPerReplica = 1; ///< Connections that this daemon may hold to each replica that it owns.
};
} // namespace Backend
