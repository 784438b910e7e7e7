#include "OpenSpan.h"

#include "LibObservability/TraceParent.h"
#include "LibObservability/TraceRecorder.h"

#include <utility>

open_span beginSpan(const Observability::trace_context &parent, std::string name, Core::random_engine &random)
{
    open_span begun;
    begun.span.context = Observability::childOf(parent, random);
    begun.span.parentSpanId = parent.spanId;
    begun.span.name = std::move(name);
    begun.span.startedAt = std::chrono::system_clock::now();
    begun.start = std::chrono::steady_clock::now();
    return begun;
}

void endSpan(Observability::trace_recorder &traces, open_span span, std::string outcome)
{
    span.span.duration = std::chrono::steady_clock::now() - span.start;
    span.span.tags.push_back({"outcome", std::move(outcome)});
    traces.record(std::move(span.span));
}
