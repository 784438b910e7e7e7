#include "LibBackend/LatencyTracker.h"

#include <algorithm>
#include <cmath>

namespace Backend
{
static constexpr double minimumSeconds = 1e-6;
static constexpr double bucketFactor = 1.08;
static constexpr std::uint32_t maximumSamples = 4096;
static constexpr std::uint32_t minimumSamples = 100;

static std::size_t bucketOf(Core::duration latency)
{
    static const double logFactor = std::log(bucketFactor);
    const double ratio = std::max(Core::toSeconds(latency) / minimumSeconds, 1.0);
    const auto bucket = static_cast<std::size_t>(std::log(ratio) / logFactor);
    return std::min(bucket, latency_tracker::bucketCount - 1);
}

static Core::duration upperEdge(std::size_t bucket)
{
    return Core::fromSeconds(minimumSeconds * std::pow(bucketFactor, static_cast<double>(bucket + 1)));
}

static void halveSamples(latency_tracker &tracker)
{
    tracker.total = 0;
    for (std::uint32_t &count : tracker.counts) {
        count /= 2;
        tracker.total += count;
    }
}

void recordLatency(latency_tracker &tracker, Core::duration latency)
{
    ++tracker.counts[bucketOf(latency)];
    ++tracker.total;
    if (tracker.total >= maximumSamples) {
        halveSamples(tracker);
    }
}

std::optional<Core::duration> latencyQuantile(const latency_tracker &tracker, double quantile)
{
    if (tracker.total < minimumSamples) {
        return std::nullopt;
    }
    const double wanted = quantile * tracker.total;
    double below = 0.0;
    for (std::size_t bucket = 0; bucket < tracker.counts.size(); ++bucket) {
        below += tracker.counts[bucket];
        if (below >= wanted) {
            return upperEdge(bucket);
        }
    }
    return upperEdge(latency_tracker::bucketCount - 1);
}
} // namespace Backend
