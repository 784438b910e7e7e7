#pragma once

#include "LibQuery/QueryPlan.h"
#include "LibQuery/QueryRequest.h"
#include "LibQuery/QueryResult.h"
#include "LibWire/BranchStream.h"

#include <cstdint>
#include <functional>
#include <optional>

/// A query submitted to a worker: a caller's query, or a branch run for another daemon.
struct query_task {
    Query::query_request request;
    Query::query_plan plan;
    std::uint32_t earlierRequests = 0; ///< Requests sent to backend servers before the query was restarted.
    std::function<void(Query::query_result)> done; ///< Called once, on the worker's thread. Unset for a branch.
    std::optional<Wire::branch_stream> branch; ///< Set for a branch: the stream to the root.
};
