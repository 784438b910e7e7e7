#pragma once

namespace Configuration
{
/// The shards that receive the requests of a route.
enum class fan_out {
    AllShards, ///< Every shard of the pinned snapshot; the per-shard results are merged.
    OneShard, ///< The shard that the request's key hashes to.
};
} // namespace Configuration
