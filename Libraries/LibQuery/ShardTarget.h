#pragma once

#include <cstddef>
#include <string>

namespace Query
{
/// Where one attempt goes: straight to a replica, or to the daemon that owns the shard's replicas.
struct shard_target {
    std::string peer; ///< The owning daemon's name; empty: straight to the replica.
    std::size_t replica = 0; ///< Index in the service state; only without a peer.
};
} // namespace Query
