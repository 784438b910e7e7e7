#pragma once

#include "LibBackend/ShardOwners.h"

#include <cstdint>
#include <map>
#include <string>

namespace Backend
{
/// Who owns what in one service, as computed by LibMembership from the live members. The daemon hands a new view to
/// applyOwnership on each change of membership or configuration.
struct ownership_view {
    std::map<std::string, shard_owners> byShard; ///< By shard name. Shards that are absent are owned by this daemon.
    /// By replica name: this daemon's place among the live members in the replica's own data centre, 0 the first.
    /// Only place 0 may warm a cold replica. Absent: this daemon never may.
    std::map<std::string, std::uint32_t> warmerRanks;
    /// By replica name: the daemon with place 0. Absent: none is known.
    std::map<std::string, std::string> warmers;
    std::uint32_t connectionsPerReplica = 1; ///< Connections that this daemon may hold to each replica that it owns.
};
} // namespace Backend
