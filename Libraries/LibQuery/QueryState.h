#pragma once

#include "LibCore/Time.h"
#include "LibQuery/QueryPlan.h"
#include "LibQuery/ResultItem.h"
#include "LibQuery/ShardState.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Query
{
/// A running query. It belongs to one thread; only the service state beside it is shared.
struct query_state {
    query_plan plan;
    std::vector<shard_state> shards; ///< In the order of the plan's shards.
    std::vector<result_item> items; ///< A heap of the best items so far, the worst of them first.
    std::vector<std::string> peers; ///< The daemons that this query uses as branches; kept few.
    Core::time_point startedAt;
    std::optional<Core::time_point> hedgeAt; ///< When the next hedge may be due.
    std::optional<Core::time_point> retryAt; ///< When to try the waiting shards again.
    std::optional<Core::time_point> wakeAt; ///< The time that the daemon was last given.
    std::uint32_t faultyAttempts = 0; ///< Attempts that ended with an error answer.
    std::uint32_t branchRequests = 0; ///< Requests to backend servers that branches sent; kept by the daemon.
    std::uint32_t shardsAnswered = 0;
    std::uint32_t shardsOpen = 0;
    std::uint32_t shardsWaiting = 0;
    bool finished = false;
};
} // namespace Query
