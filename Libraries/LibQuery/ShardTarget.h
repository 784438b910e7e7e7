#pragma once

#include <cstddef>
#include <string>

namespace Query
{
/// Target of an attempt: a replica, or the daemon that owns the shard's replicas.
struct shard_target {
    std::string peer; ///< Name of the owning daemon; empty if the attempt goes directly to the replica.
    std::size_t replica = 0; ///< Index in the service state; only valid if `peer` is empty.
};
} // namespace Query
