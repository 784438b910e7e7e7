#pragma once

#include "LibCore/RandomEngine.h"
#include "LibObservability/FinishedSpan.h"

#include <string>

namespace Observability
{
class trace_recorder;
}

/// A span of a sampled trace that has not ended.
struct open_span {
    Observability::finished_span span; ///< Its duration is set when it ends.
    Core::time_point start;
};

/// Starts a span under `parent`.
[[nodiscard]] open_span beginSpan(const Observability::trace_context &parent, std::string name,
                                  Core::random_engine &random);

/// Ends the span and records it with the outcome as one of its tags.
void endSpan(Observability::trace_recorder &traces, open_span span, std::string outcome);
