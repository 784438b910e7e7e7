#pragma once

#include "LibCore/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Backend
{
/// Histogram of the recent latencies of a service's first attempts. Old samples decay with the number of new ones.
/// Bucket widths grow by a constant factor, which bounds the relative error of a quantile.
struct latency_tracker {
    static constexpr std::size_t bucketCount = 256;
    std::array<std::uint32_t, bucketCount> counts {};
    std::uint32_t total = 0;
};

/// Adds the latency of a first attempt. For a cancelled attempt, the time until the cancellation is added: omitting it
/// would lower the quantile, and with it the delay of the next hedges, further and further.
void recordLatency(latency_tracker &tracker, Core::duration latency);

/// Returns the given quantile (0 to 1) of the recent latencies, or nothing until there are enough samples.
[[nodiscard]] std::optional<Core::duration> latencyQuantile(const latency_tracker &tracker, double quantile);
} // namespace Backend
