#pragma once

#include "LibCore/Time.h"

#include <array>
#include <cstdint>

namespace Forward
{
/// Histogram of recent latencies with exponentially growing buckets. Old samples lose weight as new ones are added.
struct latency_histogram {
    static constexpr std::size_t bucketCount = 64;
    std::array<std::uint32_t, bucketCount> counts {};
    std::uint32_t total = 0;
};

/// The inclusive upper bound of a bucket.
[[nodiscard]] Core::duration bucketUpperBound(std::size_t bucket);

void recordLatency(latency_histogram &histogram, Core::duration latency);

/// Returns the upper bound of the bucket that contains the quantile (0 to 1), or zero if there are too few samples.
[[nodiscard]] Core::duration quantileOf(const latency_histogram &histogram, double quantile);
} // namespace Forward
