#include "LibQuery/ShardRequests.h"

#include "LibQuery/QueryState.h"

namespace Query
{
std::uint32_t shardRequestsOf(const query_state &query)
{
    std::uint32_t requests = query.branchRequests;
    for (const shard_state &shard : query.shards) {
        requests += shard.attemptsSent - static_cast<std::uint32_t>(shard.triedPeers.size());
    }
    return requests;
}
} // namespace Query
