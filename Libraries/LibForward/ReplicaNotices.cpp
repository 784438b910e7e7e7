#include "LibForward/ReplicaNotices.h"

#include "LibForward/ReplicaTable.h"
#include "LibForward/RequestState.h"
#include "LibMembership/RendezvousWeight.h"

#include <algorithm>
#include <utility>

namespace Forward
{
using namespace std::chrono_literals;

/// Bounds the delay by which the daemons return at different times.
static constexpr double returnSpreadFraction = 0.2; ///< Of the stated time.
static constexpr Core::duration maximumReturnSpread = 500ms;
/// Longer times are cut, so that no time point overflows.
static constexpr Core::duration maximumRetryAfter = std::chrono::hours(24 * 365);

void recordDeparture(const replica_table &replicaTable, replica_state &replica, Core::time_point learnedAt)
{
    const Core::time_point leavesAt = learnedAt + replicaTable.drainTime / 2;
    replica.leavesAt = std::min(replica.leavesAt.value_or(leavesAt), leavesAt);
}

static constexpr std::size_t maximumDepartedReplicas = 2000; ///< Bounds the memory for replicas that never come back.

bool recordShutdownNotice(const replica_table &replicaTable, replica_state &replica, Core::time_point now)
{
    recordDeparture(replicaTable, replica, std::min(replica.stayedAt, now));
    return !std::exchange(replica.shuttingDown, true);
}

bool recordClosing(const replica_table &replicaTable, replica_state &replica)
{
    if (!replica.missing || replica.leavesAt) {
        return false;
    }
    recordDeparture(replicaTable, replica, std::min(replica.missingSince, replica.stayedAt));
    return true;
}

bool recordRetryAfter(const replica_table &replicaTable, replica_state &replica, Core::duration period,
                      Core::time_point now)
{
    if (period <= Core::duration {}) {
        return false;
    }
    const Core::duration bounded = std::min(period, maximumRetryAfter);
    const auto longestSpread =
        std::min(std::chrono::duration_cast<Core::duration>(bounded * returnSpreadFraction), maximumReturnSpread);
    const std::uint64_t key = Membership::hashName(replica.registration.id);
    constexpr std::uint64_t steps = 1024;
    const double place = static_cast<double>(Membership::rendezvousWeight(key, replicaTable.ownHash) % steps) / steps;
    const Core::time_point until = now + bounded + std::chrono::duration_cast<Core::duration>(longestSpread * place);
    const bool isExtended = until > replica.quietUntil;
    replica.quietUntil = std::max(replica.quietUntil, until);
    return isExtended;
}

void rememberNotices(replica_table &replicaTable, const replica_state &replica)
{
    if (!replica.leavesAt && replica.quietUntil == Core::time_point {}) {
        return;
    }
    if (replicaTable.departedReplicas.size() >= maximumDepartedReplicas) {
        replicaTable.departedReplicas.erase(replicaTable.departedReplicas.begin());
    }
    replicaTable.departedReplicas[replica.registration.id] = {replica.registration.startedAt, replica.shuttingDown,
                                                              replica.leavesAt, replica.quietUntil};
}

void restoreNotices(replica_table &replicaTable, replica_state &replica)
{
    const auto departed = replicaTable.departedReplicas.find(replica.registration.id);
    if (departed == replicaTable.departedReplicas.end()) {
        return;
    }
    if (departed->second.startedAt == replica.registration.startedAt) {
        replica.shuttingDown = departed->second.shuttingDown;
        replica.quietUntil = departed->second.quietUntil;
        // One that had only closed its connections is back.
        if (replica.shuttingDown || replica.registration.draining) {
            replica.leavesAt = departed->second.leavesAt;
        }
    }
    replicaTable.departedReplicas.erase(departed);
}

/// Returns from when on the replica takes requests; nothing if it takes none any more.
static std::optional<Core::time_point> acceptsFrom(const replica_state &replica)
{
    const Core::time_point from = std::max(replica.quietUntil, replica.displacedUntil);
    const bool isGone = replica.removed || (replica.leavesAt && *replica.leavesAt <= from);
    return isGone ? std::nullopt : std::optional(from);
}

bool acceptsRequests(const replica_state &replica, Core::time_point time)
{
    const std::optional<Core::time_point> from = acceptsFrom(replica);
    return from && *from <= time && (!replica.leavesAt || time < *replica.leavesAt);
}

bool hasAcceptingReplica(const service_state &service, Core::time_point time)
{
    return std::any_of(service.replicas.begin(), service.replicas.end(),
                       [time](const replica_state &replica) { return acceptsRequests(replica, time); });
}

std::optional<Core::time_point> quietUntil(const request_state &request, const replica_table &replicaTable,
                                           Core::time_point now)
{
    std::vector<Core::time_point> returns;
    for (const std::size_t service : request.plan.services) {
        std::optional<Core::time_point> earliest;
        for (const replica_state &replica : replicaTable.services[service]->replicas) {
            const std::optional<Core::time_point> from = acceptsFrom(replica);
            if (from && acceptsRequests(replica, std::max(*from, now)) && (!earliest || *from < *earliest)) {
                earliest = from;
            }
        }
        if (earliest) {
            returns.push_back(*earliest);
        }
    }
    const std::size_t required = std::max<std::size_t>(request.plan.requiredSubrequests, 1);
    if (returns.size() < required) {
        return std::nullopt;
    }
    std::sort(returns.begin(), returns.end());
    const Core::time_point enough = returns[required - 1];
    return enough > now ? std::optional(enough) : std::nullopt;
}
} // namespace Forward
