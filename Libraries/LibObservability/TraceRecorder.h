#pragma once

#include "LibObservability/FinishedSpan.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

namespace Observability
{
/// Keeps the latest spans in memory, since VMs have no disk. Thread-safe.
class trace_recorder
{
public:
    explicit trace_recorder(std::size_t maximumSpans);

    /// Stores the span if its trace is sampled. Discards the oldest span when the maximum number is exceeded.
    void record(finished_span span);
    /// Returns the stored spans in OpenTracing's JSON format, oldest first.
    [[nodiscard]] std::string toJson() const;

private:
    const std::size_t m_maximumSpans;
    mutable std::mutex m_mutex;
    std::deque<finished_span> m_spans; ///< Guarded by m_mutex.
};
} // namespace Observability
