#pragma once

#include "LibCore/Time.h"

#include <array>
#include <cstdint>

namespace Forward
{
/// Recent latencies in buckets that grow by a fixed factor. Old samples fade as new ones come.
struct latency_histogram {
    static constexpr std::size_t bucketCount = 64;
    std::array<std::uint32_t, bucketCount> counts {};
    std::uint32_t total = 0;
};

/// The longest latency that a bucket holds.
[[nodiscard]] Core::duration upperEdge(std::size_t bucket);

void recordLatency(latency_histogram &histogram, Core::duration latency);

/// Returns the upper edge of the bucket that holds the quantile (0 to 1); zero without enough samples.
[[nodiscard]] Core::duration quantileOf(const latency_histogram &histogram, double quantile);
} // namespace Forward
