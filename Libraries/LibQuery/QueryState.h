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
/// State of a running query. Used by a single thread, unlike the service state, which is shared.
struct query_state {
    query_plan plan;
    std::vector<shard_state> shards; ///< In the order of the plan's shards.
    std::vector<result_item> items; ///< Heap of the best items so far, with the worst one at the front.
    std::vector<std::string> peers; ///< The daemons that this query uses as branches; reused to keep them few.
    Core::time_point startedAt;
    std::optional<Core::time_point> nextHedgeCheck; ///< Time of the next hedge check.
    std::optional<Core::time_point> nextRetry; ///< Time of the next retry of the waiting shards.
    std::optional<Core::time_point> wakeAt; ///< The wake-up time last passed to the daemon.
    std::uint32_t errorAnswers = 0; ///< Attempts that ended with an error answer.
    std::uint32_t branchRequests = 0; ///< Requests that branches sent to backend servers; updated by the daemon.
    std::uint32_t shardsAnswered = 0;
    std::uint32_t shardsOpen = 0;
    std::uint32_t shardsWaiting = 0;
    bool finished = false;
};
} // namespace Query
