#include "LibForward/ChooseReplica.h"

#include "LibForward/AttemptKind.h"
#include "LibForward/ChoiceFilter.h"
#include "LibForward/ExpectedLatency.h"
#include "LibForward/ReplicaNotices.h"
#include "LibForward/ReplicaTable.h"
#include "LibForward/RequestLimits.h"
#include "LibForward/RolloutEvents.h"
#include "LibMembership/RendezvousWeight.h"

#include <algorithm>
#include <random>

namespace Forward
{
using namespace std::chrono_literals;

static constexpr Core::duration coldWindow = 1s; ///< Limits for cold replicas are configured per second.
/// A sliding second can overlap two counted seconds, so each daemon uses only half of its part of the limit.
static constexpr double coldRateFraction = 0.5;
/// Single failures are common when connections are unreliable.
static constexpr unsigned failuresUntilPresumedDown = 3;
static constexpr double scoreJitter = 0.05; ///< Spreads the daemons over replicas with similar scores.

/// This daemon's part of the requests per second that all daemons together may send to a cold replica. If there are
/// fewer requests than daemons, the daemons with the highest rendezvous weights for this replica send one each.
static unsigned coldRequestQuota(const replica_table &replicaTable, const replica_state &replica, double allowed)
{
    const auto fleetQuota = static_cast<std::size_t>(allowed * coldRateFraction);
    const std::size_t daemons = std::max<std::size_t>(replicaTable.daemons, 1);
    if (fleetQuota >= daemons) {
        return static_cast<unsigned>(fleetQuota / daemons);
    }
    const std::uint64_t key = Membership::hashName(replica.registration.id);
    const std::uint64_t ownWeight = Membership::rendezvousWeight(key, replicaTable.ownHash);
    const auto precedingDaemons =
        std::count_if(replicaTable.otherHashes.begin(), replicaTable.otherHashes.end(),
                      [&](std::uint64_t other) { return Membership::rendezvousWeight(key, other) > ownWeight; });
    return static_cast<std::size_t>(precedingDaemons) < fleetQuota ? 1 : 0;
}

static bool isWithinColdLimit(const replica_table &replicaTable, const replica_state &replica,
                              const service_policy *policy, Core::time_point now)
{
    if (now >= replica.coldUntil || policy == nullptr || policy->coldRequestsPerSecond <= 0.0) {
        return true;
    }
    const double allowed = policy->coldRequestsPerSecond * replicaTable.coldOvershoot + replicaTable.coldSlack;
    const unsigned sent = now - replica.coldWindowStart < coldWindow ? replica.coldRequestsSent : 0;
    return sent < coldRequestQuota(replicaTable, replica, allowed);
}

static bool isRegionAllowed(const replica_table &replicaTable, const replica_state &replica,
                            std::span<const std::string> allowedRegions)
{
    if (allowedRegions.empty()) {
        return true;
    }
    const auto region = replicaTable.regionsByDataCentre.find(replica.registration.dataCentre);
    return region != replicaTable.regionsByDataCentre.end()
        && std::find(allowedRegions.begin(), allowedRegions.end(), region->second) != allowedRegions.end();
}

static bool isEligible(const replica_table &replicaTable, const replica_state &replica, const choice_filter &filter,
                       Core::time_point now)
{
    if (filter.rollout != nullptr && sideOf(*filter.rollout, replica) != filter.side) {
        return false;
    }
    if (filter.version != nullptr && *filter.version != replica.registration.version) {
        return false;
    }
    if (replica.leavesAt && filter.kind == attempt_kind::Hedge) {
        return false;
    }
    return acceptsRequests(replica, now) && !replicaTable.evacuatedDataCentres.contains(replica.registration.dataCentre)
        && isRegionAllowed(replicaTable, replica, filter.allowedRegions)
        && isWithinColdLimit(replicaTable, replica, filter.policy, now)
        && isWithinRequestLimit(replica, filter.kind, now);
}

bool isAvoided(const replica_state &replica, Core::time_point now)
{
    return now < replica.avoidUntil;
}

bool isPresumedDown(const replica_state &replica, Core::time_point now)
{
    return isAvoided(replica, now) && replica.consecutiveFailures >= failuresUntilPresumedDown;
}

std::optional<std::size_t> chooseReplica(const replica_table &replicaTable, std::size_t service,
                                         const choice_filter &filter, Core::time_point now, Core::random_engine &random)
{
    const service_state &state = *replicaTable.services[service];
    std::optional<std::size_t> best;
    double bestScore = 0.0;
    std::uniform_real_distribution<double> jitter(1.0, 1.0 + scoreJitter);
    for (std::size_t index = 0; index < state.replicas.size(); ++index) {
        const replica_state &replica = state.replicas[index];
        const bool tried = std::find(filter.tried.begin(), filter.tried.end(), index) != filter.tried.end();
        if (tried || !isEligible(replicaTable, replica, filter, now)) {
            continue;
        }
        const double score = expectedLatency(replica, state, now).count() * jitter(random);
        if (!best || score < bestScore) {
            best = index;
            bestScore = score;
        }
    }
    return best;
}

void recordColdRequest(replica_state &replica, Core::time_point now)
{
    if (now >= replica.coldUntil) {
        return;
    }
    if (now - replica.coldWindowStart >= coldWindow) {
        replica.coldWindowStart = now;
        replica.coldRequestsSent = 0;
    }
    ++replica.coldRequestsSent;
}
} // namespace Forward
