#pragma once

#include "LibCore/RandomEngine.h"
#include "OpenSpan.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Query
{
struct send_attempt;
}

struct query_task;
struct running_query;

/// The spans of a query whose trace is sampled. Other queries have none and so incur no tracing cost.
struct query_trace {
    Observability::trace_context parent; ///< Parent span of shard requests and branch calls.
    std::optional<open_span> branch; ///< Own span; set only for a branch.
    std::map<std::uint64_t, open_span> shardRequests; ///< Spans of attempts that have not ended, by attempt number.
};

/// Starts the trace of a query or a branch; returns null if it is not sampled.
[[nodiscard]] std::unique_ptr<query_trace> beginTrace(const query_task &task, Core::random_engine &random);

/// Starts the span of a request to a replica and returns the traceparent to send with it.
[[nodiscard]] std::string beginShardRequest(running_query &running, const Query::send_attempt &attempt,
                                            Core::random_engine &random);

/// Removes the span of a request to a replica from the trace and returns it; null if the query is not traced or the
/// span is not open.
[[nodiscard]] std::unique_ptr<open_span> takeShardRequest(running_query &running, std::uint64_t attempt);

/// Starts the span of a branch call at the root; returns null if the query is not traced.
[[nodiscard]] std::unique_ptr<open_span> beginBranchCall(const running_query &running, const std::string &peer,
                                                         std::size_t shards, Core::random_engine &random);
