#pragma once

namespace Observability
{
/// Whether the spans of a trace are recorded.
enum class trace_sampling {
    NotSampled,
    Sampled,
};
} // namespace Observability
