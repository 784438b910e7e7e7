#pragma once

#include "LibQuery/QueryPlan.h"
#include "LibQuery/QueryRequest.h"
#include "LibQuery/QueryResult.h"

#include <functional>

/// A query on its way to a worker.
struct query_task {
    Query::query_request request;
    Query::query_plan plan;
    std::function<void(Query::query_result)> done; ///< Called once, on the worker's thread.
};
