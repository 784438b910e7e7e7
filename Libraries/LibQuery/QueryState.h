#pragma once

#include "LibQuery/QueryPlan.h"
#include "LibQuery/ResultItem.h"
#include "LibQuery/ShardState.h"

#include <cstdint>
#include <vector>

namespace Query
{
/// A running query. It belongs to one thread; only the service state beside it is shared.
struct query_state {
    query_plan plan;
    std::vector<shard_state> shards; ///< In the order of the plan's shards.
    std::vector<result_item> items;
    std::uint64_t nextAttempt = 1;
    std::uint32_t shardsAnswered = 0;
    bool finished = false;
};
} // namespace Query
