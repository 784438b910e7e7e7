#pragma once

#include "LibObservability/FinishedSpan.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>

namespace Observability
{
/// Keeps the latest spans in memory, since VMs have no disk. Usable from any thread.
class trace_recorder
{
public:
    explicit trace_recorder(std::size_t mostSpans);

    /// Keeps the span if its trace is sampled; the oldest one goes when there is no room.
    void record(finished_span span);
    /// Returns the kept spans in OpenTracing's JSON form, the oldest first.
    [[nodiscard]] std::string toJson() const;

private:
    const std::size_t m_mostSpans;
    mutable std::mutex m_mutex;
    std::deque<finished_span> m_spans; ///< Guarded by m_mutex.
};
} // namespace Observability
