#pragma once

#include "LibQuery/QueryState.h"
#include "LibWire/BranchAnswers.h"
#include "QueryTask.h"
#include "QueryTrace.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

struct service_shard;

/// A query that a worker is carrying out.
struct running_query {
    query_task task;
    Query::query_state state;
    service_shard *service = nullptr;
    std::string attemptPrefix; ///< Makes attempt ids unique over all daemons, queries and restarts.
    std::vector<std::uint64_t> branches; ///< The worker's numbers of the branches that run for this query.
    Wire::branch_answers unsent; ///< For a branch: what the root has not yet been told.
    std::unique_ptr<query_trace> trace; ///< Null: the query's trace is not sampled.
    std::uint64_t timerGeneration = 0; ///< Timers of older generations are ignored.
};
