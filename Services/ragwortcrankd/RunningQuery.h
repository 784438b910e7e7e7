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

/// A query or branch that a worker is running.
struct running_query {
    query_task task;
    Query::query_state state;
    service_shard *service = nullptr;
    std::string attemptPrefix; ///< Prefix that makes attempt ids unique across all daemons, queries and restarts.
    std::vector<std::uint64_t> branches; ///< Worker-local numbers of the branches that run for this query.
    Wire::branch_answers unsentAnswers; ///< For a branch: results not yet sent to the root.
    std::unique_ptr<query_trace> trace; ///< Null: the query's trace is not sampled.
    std::uint64_t timerGeneration = 0; ///< Timers of earlier generations are ignored.
};
