#pragma once

#include "LibCore/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Backend
{
/// The recent latencies of a service's first attempts as a histogram whose old samples fade by count.
/// Each bucket is a fixed factor wider than the one before, so that a quantile is right to that factor.
struct latency_tracker {
    static constexpr std::size_t bucketCount = 256;
    std::array<std::uint32_t, bucketCount> counts {};
    std::uint32_t total = 0;
};

/// Adds the latency of a first attempt. For an attempt that was cancelled the time until then is added: leaving it out
/// would pull the quantile, and with it the next hedges, ever earlier.
void recordLatency(latency_tracker &tracker, Core::duration latency);

/// Returns the latency that this part (0 to 1) of the recent attempts stayed within; nothing before enough are known.
[[nodiscard]] std::optional<Core::duration> latencyQuantile(const latency_tracker &tracker, double part);
} // namespace Backend
