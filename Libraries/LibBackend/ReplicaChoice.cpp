#include "LibBackend/ReplicaChoice.h"

#include "LibBackend/Ownership.h"
#include "LibBackend/ReplicaFilter.h"
#include "LibBackend/ServiceState.h"
#include "LibBackend/ShardAvailability.h"
#include "LibBackend/SlowStart.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Backend
{
/// Half-lives of the weights of a replica's measured latency and its load hint.
static constexpr Core::real_seconds latencyHalfLife {2.0};
static constexpr Core::real_seconds hintHalfLife {0.1};
/// All daemons receive the same hints, so a hint must weigh less than this daemon's own requests in flight.
static constexpr double hintWeight = 0.5;
static constexpr double maximumHintedLoad = 4.0;
static constexpr std::uint32_t queueDepth = 4;

bool mayServe(const replica_state &replica, const replica_filter &filter)
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

static bool isExcluded(const replica_filter &filter, std::size_t index)
{
    return std::find(filter.exclude.begin(), filter.exclude.end(), index) != filter.exclude.end();
}

static bool hasQueueCapacity(const service_state &service, const replica_state &replica)
{
    const std::uint32_t concurrentRequests = std::max(service.slotsPerReplica, service.connectionsPerReplica);
    return replica.inFlight < concurrentRequests * queueDepth;
}

static double decayFactor(Core::duration age, Core::real_seconds halfLife)
{
    return std::exp2(-std::max(Core::toSeconds(age), 0.0) / halfLife.count());
}

/// Returns the expected latency. With age, the estimate returns to the mean of the service, so that a replica that was
/// slow once is tried again.
static Core::real_seconds expectedLatency(const service_state &service, const replica_state &replica,
                                          Core::time_point now)
{
    constexpr Core::real_seconds minimumLatency {1e-4};
    const Core::real_seconds typicalLatency = std::max(service.warmLatency, minimumLatency);
    if (replica.smoothedLatency == Core::real_seconds::zero()) {
        return typicalLatency;
    }
    const double weight = decayFactor(now - replica.respondedAt, latencyHalfLife);
    return std::max(typicalLatency + (replica.smoothedLatency - typicalLatency) * weight, minimumLatency);
}

static double hintedLoad(const replica_state &replica, Core::time_point now)
{
    if (!replica.hint) {
        return 0.0;
    }
    const double load = std::clamp(replica.hint->load, 0.0, maximumHintedLoad);
    return hintWeight * load * decayFactor(now - replica.hint->receivedAt, hintHalfLife);
}

static Core::real_seconds expectedWait(const service_state &service, const replica_state &replica, Core::time_point now)
{
    constexpr Core::real_seconds avoidancePenalty {1e3};
    const Core::real_seconds penalty = now < replica.avoidUntil ? avoidancePenalty : Core::real_seconds::zero();
    const double own = static_cast<double>(replica.inFlight) / service.slotsPerReplica;
    return penalty + expectedLatency(service, replica, now) * (1.0 + own + hintedLoad(replica, now));
}

std::optional<std::size_t> chooseReplica(const service_state &service, const replica_filter &filter,
                                         Core::time_point now, Core::random_engine &random)
{
    const auto found = service.byShard.find(filter.shard);
    if (found == service.byShard.end()) {
        return std::nullopt;
    }
    std::optional<std::size_t> best;
    Core::real_seconds bestScore {std::numeric_limits<double>::infinity()};
    // Random jitter, since daemons with equal estimates must not all choose the same replica.
    std::uniform_real_distribution<double> jitter(0.8, 1.2);
    for (const std::size_t index : found->second) {
        const replica_state &replica = service.replicas[index];
        if (!mayServe(replica, filter) || isExcluded(filter, index) || !hasQueueCapacity(service, replica)
            || !hasSlowStartCapacity(service, replica, now)) {
            continue;
        }
        const Core::real_seconds score = expectedWait(service, replica, now) * jitter(random);
        if (score < bestScore) {
            bestScore = score;
            best = index;
        }
    }
    return best;
}

static shard_availability availabilityOfOne(const service_state &service, const replica_state &replica,
                                            Core::time_point now)
{
    if (hasSlowStartCapacity(service, replica, now)) {
        return {hasQueueCapacity(service, replica) ? availability::Available : availability::Busy, {}};
    }
    if (!service.hasOwnershipView || mayRunSlowStart(service, replica, now)) {
        return {availability::Busy, {}};
    }
    if (replica.slowStartRank == 0) {
        return {availability::AwaitingHandover, {}};
    }
    if (replica.slowStartOwner.empty()) {
        return {availability::Unserved, {}};
    }
    return {availability::SlowStartElsewhere, replica.slowStartOwner};
}

shard_availability availabilityOf(const service_state &service, const replica_filter &filter, Core::time_point now)
{
    shard_availability best;
    const auto found = service.byShard.find(filter.shard);
    if (found == service.byShard.end()) {
        return best;
    }
    for (const std::size_t index : found->second) {
        const replica_state &replica = service.replicas[index];
        if (!mayServe(replica, filter) || isExcluded(filter, index)) {
            continue;
        }
        // The enumerators are in descending order of preference.
        shard_availability candidate = availabilityOfOne(service, replica, now);
        if (candidate.state < best.state) {
            best = std::move(candidate);
        }
    }
    return best;
}
} // namespace Backend
