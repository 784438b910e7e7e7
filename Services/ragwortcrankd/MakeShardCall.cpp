#include "MakeShardCall.h"

#include "LibPlatform/ShardCall.h"
#include "RunningQuery.h"

#include <utility>

Platform::shard_call makeShardCall(const running_query &running, std::size_t shard, std::string address)
{
    const Query::query_plan &plan = running.state.plan;
    Platform::shard_call call;
    call.address = std::move(address);
    call.shard = plan.shards[shard].name;
    call.route = plan.route;
    call.requestId = plan.requestId;
    call.snapshot = plan.snapshot;
    call.text = running.task.request.text;
    call.idempotent = plan.idempotent;
    return call;
}
