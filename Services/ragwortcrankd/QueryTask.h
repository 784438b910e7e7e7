#pragma once

#include "LibQuery/QueryPlan.h"
#include "LibQuery/QueryRequest.h"
#include "LibQuery/QueryResult.h"
#include "LibWire/BranchStream.h"

#include <cstdint>
#include <functional>
#include <optional>

/// A query on its way to a worker: a caller's, or a branch of another daemon's.
struct query_task {
    Query::query_request request;
    Query::query_plan plan;
    std::uint32_t earlierRequests = 0; ///< Sent to backend servers before the query was restarted.
    std::function<void(Query::query_result)> done; ///< Called once, on the worker's thread. Unset for a branch.
    std::optional<Wire::branch_stream> branch; ///< Set for a branch: the way back to the root.
};
