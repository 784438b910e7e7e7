#pragma once

#include "LibCore/RandomEngine.h"
#include "LibObservability/TraceContext.h"

#include <optional>
#include <string>
#include <string_view>

namespace Observability
{
/// Parses a W3C traceparent header. Returns nothing if it is malformed; the caller then starts a new trace.
[[nodiscard]] std::optional<trace_context> parseTraceParent(std::string_view header);

/// Formats a W3C traceparent header.
[[nodiscard]] std::string formatTraceParent(const trace_context &context);

/// Starts a new trace.
[[nodiscard]] trace_context startTrace(Core::random_engine &random, trace_sampling sampling);

/// Returns the context of a new span under `parent`.
[[nodiscard]] trace_context childOf(const trace_context &parent, Core::random_engine &random);
} // namespace Observability
