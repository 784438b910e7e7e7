#pragma once

#include "LibCore/Time.h"
#include "LibObservability/TraceContext.h"

#include <cstdint>
#include <string>

namespace Query
{
struct query_request;
struct query_result;
} // namespace Query

struct daemon_state;

/// Measurements of one caller query, from its arrival to its response.
struct query_observation {
    Observability::trace_context context; ///< The query's own span.
    std::uint64_t parentSpanId = 0; ///< The caller's span; 0: none.
    Core::wall_time startedAt;
    Core::time_point start;
    std::string name; ///< Service and route.
    std::string team;
};

/// Starts the observation of a query and makes its span the parent of all requests sent on its behalf.
[[nodiscard]] query_observation beginObservation(daemon_state &daemon, Query::query_request &request);

/// Records the metrics and the span of the query, and logs it if its result is incomplete.
void endObservation(daemon_state &daemon, const query_observation &observation, const Query::query_result &result);
