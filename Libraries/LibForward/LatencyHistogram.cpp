#include "LibForward/LatencyHistogram.h"

#include <algorithm>
#include <cmath>

namespace Forward
{
static constexpr Core::real_seconds firstEdge = std::chrono::microseconds(500);
static constexpr double growth = 1.15; ///< 64 buckets cover 0.5 ms to 3.3 s.
static constexpr std::uint32_t mostSamples = 400; ///< All counts are halved then, after a few seconds of traffic.
static constexpr std::uint32_t fewestSamples = 30; ///< Required for a usable quantile near 0.9.

static std::size_t bucketOf(Core::duration latency)
{
    const double ratio = Core::toSeconds(latency) / firstEdge.count();
    if (ratio <= 1.0) {
        return 0;
    }
    const auto bucket = static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(growth)));
    return std::min(bucket, latency_histogram::bucketCount - 1);
}

Core::duration upperEdge(std::size_t bucket)
{
    return Core::fromSeconds(firstEdge.count() * std::pow(growth, static_cast<double>(bucket)));
}

void recordLatency(latency_histogram &histogram, Core::duration latency)
{
    ++histogram.counts[bucketOf(latency)];
    ++histogram.total;
    if (histogram.total < mostSamples) {
        return;
    }
    histogram.total = 0;
    for (std::uint32_t &count : histogram.counts) {
        count /= 2;
        histogram.total += count;
    }
}

Core::duration quantileOf(const latency_histogram &histogram, double quantile)
{
    if (histogram.total < fewestSamples) {
        return {};
    }
    const double wanted = quantile * histogram.total;
    double seen = 0.0;
    for (std::size_t bucket = 0; bucket < histogram.counts.size(); ++bucket) {
        seen += histogram.counts[bucket];
        if (seen >= wanted) {
            return upperEdge(bucket);
        }
    }
    return upperEdge(histogram.counts.size());
}
} // namespace Forward
