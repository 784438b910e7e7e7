#include "LibBackend/ReplicaChoice.h"

#include "LibBackend/ReplicaFilter.h"
#include "LibBackend/ServiceState.h"

#include <algorithm>
#include <limits>

namespace Backend
{
static bool mayServe(const replica_state &replica, const replica_filter &filter)
{
    if (replica.removed || replica.dataCentreOut || replica.reportedLeaving || replica.settings.leaving) {
        return false;
    }
    if (!filter.version.empty() && replica.settings.version != filter.version) {
        return false;
    }
    if (filter.dataCentres == nullptr || filter.dataCentres->empty()) {
        return true;
    }
    return filter.dataCentres->contains(replica.settings.dataCentre);
}

static double expectedWait(const replica_state &replica, Core::time_point now)
{
    constexpr double avoidancePenaltySeconds = 10.0;
    const double penalty = now < replica.avoidUntil ? avoidancePenaltySeconds : 0.0;
    const double latency = std::max(replica.smoothedLatencySeconds, 1e-4);
    return penalty + latency * (1.0 + replica.inFlight);
}

std::optional<std::size_t> chooseReplica(const service_state &service, const replica_filter &filter,
                                         Core::time_point now, Core::random_engine &random)
{
    const auto found = service.byShard.find(filter.shard);
    if (found == service.byShard.end()) {
        return std::nullopt;
    }
    std::optional<std::size_t> best;
    double bestScore = std::numeric_limits<double>::infinity();
    std::uniform_real_distribution<double> jitter(0.9, 1.1);
    for (const std::size_t index : found->second) {
        const replica_state &replica = service.replicas[index];
        if (!mayServe(replica, filter)) {
            continue;
        }
        if (std::find(filter.exclude.begin(), filter.exclude.end(), index) != filter.exclude.end()) {
            continue;
        }
        const double score = expectedWait(replica, now) * jitter(random);
        if (score < bestScore) {
            bestScore = score;
            best = index;
        }
    }
    return best;
}
} // namespace Backend
