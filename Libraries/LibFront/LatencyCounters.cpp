#include "LibFront/LatencyCounters.h"

#include <algorithm>

namespace Front
{
void recordLatency(latency_counters &counters, Core::duration latency)
{
    const auto bucket =
        std::lower_bound(latency_counters::upperBounds.begin(), latency_counters::upperBounds.end(), latency);
    ++counters.counts[static_cast<std::size_t>(bucket - latency_counters::upperBounds.begin())];
    counters.sum += latency;
}
} // namespace Front
