#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <limits>

namespace Forward
{
/// Adaptive limit on the number of concurrent scatter-gather requests from this daemon to one set of shards. It
/// decreases while many responses are late, and increases while they are on time and the limit is close to being
/// reached.
struct concurrency_limit {
    double limit = std::numeric_limits<double>::infinity();
    std::size_t running = 0;
    std::size_t peakRunning = 0; ///< In the current window.
    std::size_t finished = 0; ///< Requests that ended in the current window.
    std::size_t onTime = 0; ///< Requests among them that were answered on time.
    Core::time_point windowStart;
};

/// Whether one more request may start. Priority 0 is the most urgent; lower priorities leave some headroom for it.
[[nodiscard]] bool mayStart(const concurrency_limit &concurrency, int priority);

/// Whether there is headroom for hedges, which compete with the first attempts of other requests for slots.
[[nodiscard]] bool mayHedge(const concurrency_limit &concurrency);

void recordStart(concurrency_limit &concurrency);

/// Records the end of a request. `wasOnTime` is false if the response was late or missing.
void recordEnd(concurrency_limit &concurrency, bool wasOnTime, Core::time_point now);

/// Records the end of a request that is no evidence of the load, for example because its caller disconnected.
void recordEndWithoutSample(concurrency_limit &concurrency);
} // namespace Forward
