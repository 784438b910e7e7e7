#pragma once

#include "LibQuery/QueryState.h"
#include "QueryTask.h"

#include <cstdint>
#include <map>
#include <string>

struct service_shard;

/// A query that a worker is carrying out.
struct running_query {
    query_task task;
    Query::query_state state;
    service_shard *service = nullptr;
    std::map<std::uint64_t, std::uint64_t> calls; ///< HTTP call numbers by attempt.
    std::map<std::uint64_t, std::string> addresses; ///< Replica addresses by attempt, for cancellation.
    std::uint64_t timerGeneration = 0; ///< Timers of older generations are ignored.
};
