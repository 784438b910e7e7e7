#include "LibObservability/TraceRecorder.h"

#include <opentracing/mocktracer/json.h>
#include <opentracing/mocktracer/recorder.h>

#include <charconv>
#include <sstream>
#include <utility>
#include <vector>

namespace Observability
{
using opentracing::mocktracer::SpanData;

trace_recorder::trace_recorder(std::size_t maximumSpans)
    : m_maximumSpans(maximumSpans)
{
}

void trace_recorder::record(finished_span span)
{
    if (span.context.sampling != trace_sampling::Sampled) {
        return;
    }
    const std::scoped_lock lock(m_mutex);
    m_spans.push_back(std::move(span));
    if (m_spans.size() > m_maximumSpans) {
        m_spans.pop_front();
    }
}

/// Returns the low 64 bits of a trace id. OpenTracing's span data has no room for more; a tag holds the complete id.
static std::uint64_t lowTraceIdBits(const std::string &traceId)
{
    constexpr std::size_t halfDigits = 16;
    constexpr int hexadecimal = 16;
    std::uint64_t value = 0;
    if (traceId.size() >= halfDigits) {
        const char *end = traceId.data() + traceId.size();
        std::from_chars(end - halfDigits, end, value, hexadecimal);
    }
    return value;
}

static SpanData convert(const finished_span &span)
{
    SpanData data;
    data.span_context.trace_id = lowTraceIdBits(span.context.traceId);
    data.span_context.span_id = span.context.spanId;
    if (span.parentSpanId != 0) {
        data.references.push_back(
            {opentracing::SpanReferenceType::ChildOfRef, data.span_context.trace_id, span.parentSpanId});
    }
    data.operation_name = span.name;
    data.start_timestamp = span.startedAt;
    data.duration = span.duration;
    data.tags["trace_id"] = span.context.traceId;
    for (const span_tag &tag : span.tags) {
        data.tags[tag.name] = tag.value;
    }
    return data;
}

std::string trace_recorder::toJson() const
{
    std::vector<SpanData> converted;
    {
        const std::scoped_lock lock(m_mutex);
        converted.reserve(m_spans.size());
        for (const finished_span &span : m_spans) {
            converted.push_back(convert(span));
        }
    }
    std::ostringstream text;
    opentracing::mocktracer::ToJson(text, converted);
    return text.str();
}
} // namespace Observability
