#include "LibBackend/ResponseTimeout.h"

#include "LibBackend/ServiceState.h"

#include <algorithm>

namespace Backend
{
static constexpr Core::real_seconds minimumTimeout {0.05};
static constexpr Core::real_seconds maximumTimeout {10.0};
/// Multiple of the slowest recent response that the timeout is at least.
static constexpr double recentMaximumFactor = 2.0;
/// Multiple of the mean latency that the timeout is at least. Stragglers of 20 times the mean are common.
static constexpr double meanFactor = 24.0;
static constexpr std::uint32_t maximumDoublings = 6;
/// Longer than the time for which any connection is kept idle.
static constexpr std::chrono::seconds suspicionDuration {120};

Core::duration responseTimeout(const service_state &service, std::size_t index)
{
    const replica_state &replica = service.replicas[index];
    const Core::real_seconds mean = std::max(service.warmLatency, replica.smoothedLatency);
    const Core::real_seconds recentMaximum = std::max(service.recentMaximumLatency, replica.recentMaximumLatency);
    if (recentMaximum == Core::real_seconds::zero()) {
        return std::chrono::duration_cast<Core::duration>(maximumTimeout);
    }
    const Core::real_seconds timeout =
        std::max({minimumTimeout, recentMaximum * recentMaximumFactor, mean * meanFactor});
    const auto doublings = static_cast<double>(1U << std::min(replica.consecutiveTimeouts, maximumDoublings));
    return std::chrono::duration_cast<Core::duration>(std::min(timeout * doublings, maximumTimeout));
}

std::optional<Core::duration> maximumConnectionAge(const replica_state &replica, Core::time_point now)
{
    if (!replica.lastTimeoutAt || now - *replica.lastTimeoutAt > suspicionDuration) {
        return std::nullopt;
    }
    return now - *replica.lastTimeoutAt;
}
} // namespace Backend
