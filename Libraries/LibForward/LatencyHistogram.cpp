#include "LibForward/LatencyHistogram.h"

#include <algorithm>
#include <cmath>

namespace Forward
{
static constexpr Core::real_seconds firstUpperBound = std::chrono::microseconds(500);
static constexpr double bucketGrowthFactor = 1.15; ///< 64 buckets cover 0.5 ms to 3.3 s.
static constexpr std::uint32_t maximumSamples = 400; ///< Then all counts are halved; a few seconds of traffic.
static constexpr std::uint32_t minimumSamples = 30; ///< Required for a usable quantile near 0.9.

static std::size_t bucketOf(Core::duration latency)
{
    const double ratio = Core::toSeconds(latency) / firstUpperBound.count();
    if (ratio <= 1.0) {
        return 0;
    }
    const auto bucket = static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(bucketGrowthFactor)));
    return std::min(bucket, latency_histogram::bucketCount - 1);
}

Core::duration bucketUpperBound(std::size_t bucket)
{
    return Core::fromSeconds(firstUpperBound.count() * std::pow(bucketGrowthFactor, static_cast<double>(bucket)));
}

void recordLatency(latency_histogram &histogram, Core::duration latency)
{
    ++histogram.counts[bucketOf(latency)];
    ++histogram.total;
    if (histogram.total < maximumSamples) {
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
    if (histogram.total < minimumSamples) {
        return {};
    }
    const double targetCount = quantile * histogram.total;
    double cumulativeCount = 0.0;
    for (std::size_t bucket = 0; bucket < histogram.counts.size(); ++bucket) {
        cumulativeCount += histogram.counts[bucket];
        if (cumulativeCount >= targetCount) {
            return bucketUpperBound(bucket);
        }
    }
    return bucketUpperBound(histogram.counts.size());
}
} // namespace Forward
