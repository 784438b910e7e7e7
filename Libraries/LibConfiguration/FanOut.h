#pragma once

namespace Configuration
{
/// Which shards a route's requests go to.
enum class fan_out {
    AllShards, ///< Every shard of the pinned snapshot; the answers are merged.
    OneShard, ///< The one shard that the request's key hashes to.
};
} // namespace Configuration
