#pragma once

#include "LibCore/Time.h"
#include "LibObservability/SpanTag.h"
#include "LibObservability/TraceContext.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Observability
{
/// One hop of a request that has ended.
struct finished_span {
    trace_context context; ///< The span's own position.
    std::uint64_t parentSpanId = 0; ///< 0: the trace starts here.
    std::string name; ///< What the hop did, as in "query" or "shard request".
    Core::wall_time startedAt;
    Core::duration duration {};
    std::vector<span_tag> tags;
};
} // namespace Observability
