#include "LibFront/LatencyCounters.h"

#include <algorithm>

namespace Front
{
void countLatency(latency_counters &counters, Core::duration latency)
{
    const auto edge = std::lower_bound(latency_counters::edges.begin(), latency_counters::edges.end(), latency);
    ++counters.counts[static_cast<std::size_t>(edge - latency_counters::edges.begin())];
    counters.sum += latency;
}
} // namespace Front
