#include "LibBackend/SilenceBound.h"

#include "LibBackend/ServiceState.h"

#include <algorithm>

namespace Backend
{
static constexpr double leastBoundSeconds = 0.05;
static constexpr double mostBoundSeconds = 10.0;
/// The bound as a multiple of the slowest recent answer.
static constexpr double slowestFactor = 2.0;
/// The bound as a multiple of the mean; stragglers of 20 times the mean are ordinary.
static constexpr double meanFactor = 24.0;
static constexpr std::uint32_t mostDoublings = 6;
/// Longer than any connection is kept idle.
static constexpr std::chrono::seconds suspicionDuration {120};

Core::duration silenceBound(const service_state &service, std::size_t index)
{
    const replica_state &replica = service.replicas[index];
    const double mean = std::max(service.warmLatencySeconds, replica.smoothedLatencySeconds);
    const double slowest = std::max(service.slowestRecentSeconds, replica.slowestRecentSeconds);
    if (slowest == 0.0) {
        return Core::fromSeconds(mostBoundSeconds);
    }
    const double bound = std::max({leastBoundSeconds, slowest * slowestFactor, mean * meanFactor});
    const auto doublings = static_cast<double>(1U << std::min(replica.consecutiveSilences, mostDoublings));
    return Core::fromSeconds(std::min(bound * doublings, mostBoundSeconds));
}

std::optional<Core::duration> oldestUsableConnection(const replica_state &replica, Core::time_point now)
{
    if (!replica.silentAt || now - *replica.silentAt > suspicionDuration) {
        return std::nullopt;
    }
    return now - *replica.silentAt;
}
} // namespace Backend
