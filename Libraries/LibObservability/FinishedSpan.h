#pragma once

#include "LibCore/Time.h"
#include "LibObservability/SpanTag.h"
#include "LibObservability/TraceContext.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Observability
{
/// A finished span: one operation of a traced request.
struct finished_span {
    trace_context context; ///< Identifies this span.
    std::uint64_t parentSpanId = 0; ///< 0: the root span of the trace.
    std::string name; ///< The operation, such as "query" or "shard request".
    Core::wall_time startedAt;
    Core::duration duration {};
    std::vector<span_tag> tags;
};
} // namespace Observability
