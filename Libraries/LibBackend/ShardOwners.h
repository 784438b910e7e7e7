#pragma once

#include <string>
#include <vector>

namespace Backend
{
/// The daemons that hold connections to the replicas of one shard.
struct shard_owners {
    bool own = true; ///< This daemon is one of them.
    std::vector<std::string> peers; ///< Names of the other owners, by ascending distance, then by rendezvous rank.
};
} // namespace Backend
