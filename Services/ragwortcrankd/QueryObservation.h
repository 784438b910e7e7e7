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

/// What is measured of one query of a caller, from its arrival to its answer.
struct query_observation {
    Observability::trace_context context; ///< The query's own span.
    std::uint64_t parentSpanId = 0; ///< The caller's span; 0: none.
    Core::wall_time startedAt;
    Core::time_point start;
    std::string name; ///< Service and route.
    std::string team;
};

/// Starts to observe a query and makes its span the parent of all that is sent on its behalf.
[[nodiscard]] query_observation beginObservation(daemon_state &daemon, Query::query_request &request);

/// Records the query's metrics and its span, and logs a query that was not answered whole.
void endObservation(daemon_state &daemon, const query_observation &observation, const Query::query_result &result);
