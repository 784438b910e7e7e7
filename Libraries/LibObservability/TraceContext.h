#pragma once

#include "LibObservability/TraceSampling.h"

#include <cstdint>
#include <string>

namespace Observability
{
/// Identifies a span of a trace, as carried by the W3C traceparent header.
struct trace_context {
    std::string traceId; ///< 32 lower-case hexadecimal digits, not all zero.
    std::uint64_t spanId = 0; ///< The parent of further spans; not 0.
    trace_sampling sampling = trace_sampling::NotSampled;
};
} // namespace Observability
