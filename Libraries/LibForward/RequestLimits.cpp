#include "LibForward/RequestLimits.h"

#include "LibForward/AttemptKind.h"
#include "LibForward/ReplicaTable.h"
#include "LibMembership/RendezvousWeight.h"

#include <algorithm>
#include <utility>

namespace Forward
{
using namespace std::chrono_literals;

/// Part of a limit for the daemons in the replica's region. The others send there when their own replicas cannot serve.
static constexpr double nearFraction = 0.75;
/// In requests per second. Each share may be a request ahead of its rate, so a small limit has few shares.
static constexpr double minimumShare = 1.0;
/// Unused shares accumulate for this long, so that arrivals may be uneven.
static constexpr Core::real_seconds burstLength = 250ms;
/// Bounds on the time until a daemon without a share asks whether the limit still holds.
static constexpr Core::real_seconds minimumRetention = 5s;
static constexpr Core::real_seconds maximumRetention = 30s;
/// Fraction of a limit that such requests may use.
static constexpr double probeFraction = 0.1;
static constexpr double minimumProbeRate = 0.001; ///< In requests per second; for limits near 0.

namespace
{
struct request_share {
    double rate = 0.0; ///< In requests per second.
    std::size_t daemonsWithout = 0; ///< Daemons of the group that have no share.
};
} // namespace

static request_share shareInGroup(const std::vector<std::uint64_t> &group, std::uint64_t ownHash, std::uint64_t key,
                                  double groupRate)
{
    const auto members = static_cast<double>(std::max<std::size_t>(group.size(), 1));
    const auto holders = static_cast<std::size_t>(std::clamp(groupRate / minimumShare, 1.0, members));
    const std::uint64_t ownWeight = Membership::rendezvousWeight(key, ownHash);
    const auto preceding = std::count_if(group.begin(), group.end(), [&](std::uint64_t other) {
        return other != ownHash && Membership::rendezvousWeight(key, other) > ownWeight;
    });
    const bool isHolder = static_cast<std::size_t>(preceding) < holders;
    return {isHolder ? groupRate / static_cast<double>(holders) : 0.0, std::max(group.size(), holders) - holders};
}

static request_share shareOf(const replica_table &replicaTable, const replica_state &replica, double perSecond)
{
    const auto regionOf = [&](const std::string &dataCentre) {
        const auto region = replicaTable.regionsByDataCentre.find(dataCentre);
        return region == replicaTable.regionsByDataCentre.end() ? std::string() : region->second;
    };
    const std::string nearRegion = regionOf(replica.registration.dataCentre);
    const bool isNear = regionOf(replicaTable.ownDataCentre) == nearRegion;
    std::vector<std::uint64_t> group;
    bool hasOtherGroup = false;
    for (const auto &[region, daemons] : replicaTable.limitSharers.byRegion) {
        const bool isOwnGroup = (region == nearRegion) == isNear;
        hasOtherGroup = hasOtherGroup || (!isOwnGroup && !daemons.empty());
        if (isOwnGroup) {
            group.insert(group.end(), daemons.begin(), daemons.end());
        }
    }
    const double groupFraction = !hasOtherGroup ? 1.0 : isNear ? nearFraction : 1.0 - nearFraction;
    const std::uint64_t key = Membership::hashName(replica.registration.id);
    return shareInGroup(group, replicaTable.ownHash, key,
                        perSecond * replicaTable.limitSharers.fraction * groupFraction);
}

/// Different daemons ask at different times.
static Core::duration retentionOf(const replica_table &replicaTable, const replica_state &replica, double perSecond,
                                  std::size_t daemonsWithout)
{
    const double probeRate = std::max(perSecond * probeFraction, minimumProbeRate);
    const auto wanted = Core::real_seconds(static_cast<double>(daemonsWithout) / probeRate);
    const std::uint64_t key = Membership::hashName(replica.registration.id);
    constexpr std::uint64_t steps = 1024;
    const double spread = static_cast<double>(Membership::rendezvousWeight(key, replicaTable.ownHash) % steps) / steps;
    return std::chrono::duration_cast<Core::duration>(std::clamp(wanted, minimumRetention, maximumRetention)
                                                      * (1.0 + spread));
}

static double burstOf(const request_limit &limit)
{
    return limit.ownRate > 0.0 ? std::max(limit.ownRate * burstLength.count(), 1.0) : 0.0;
}

static double tokensAt(const request_limit &limit, Core::time_point now)
{
    return std::min(limit.tokens + limit.ownRate * Core::toSeconds(now - limit.refilledAt), burstOf(limit));
}

static void refill(request_limit &limit, Core::time_point now)
{
    limit.tokens = tokensAt(limit, now);
    limit.refilledAt = now;
}

static void updateShare(const replica_table &replicaTable, replica_state &replica, Core::time_point now)
{
    request_limit &limit = *replica.requestLimit;
    refill(limit, now);
    const request_share share = shareOf(replicaTable, replica, limit.perSecond);
    limit.ownRate = share.rate;
    limit.tokens = std::min(limit.tokens, burstOf(limit));
    limit.retention = retentionOf(replicaTable, replica, limit.perSecond, share.daemonsWithout);
}

bool recordRequestLimit(const replica_table &replicaTable, replica_state &replica, std::optional<double> perSecond,
                        Core::time_point now)
{
    if (!perSecond) {
        const bool hadLimit = replica.requestLimit.has_value();
        replica.requestLimit.reset();
        return hadLimit;
    }
    const bool isNew = !replica.requestLimit;
    if (isNew) {
        replica.requestLimit.emplace();
        replica.requestLimit->since = now;
        replica.requestLimit->refilledAt = now;
    }
    replica.requestLimit->statedAt = now;
    const double before = std::exchange(replica.requestLimit->perSecond, *perSecond);
    if (!isNew && before == *perSecond) {
        return false;
    }
    updateShare(replicaTable, replica, now);
    return true;
}

void updateRequestShares(replica_table &replicaTable, Core::time_point now)
{
    for (const auto &service : replicaTable.services) {
        for (replica_state &replica : service->replicas) {
            if (replica.requestLimit) {
                updateShare(replicaTable, replica, now);
            }
        }
    }
}

bool isWithinRequestLimit(const replica_state &replica, attempt_kind kind, Core::time_point now)
{
    if (!replica.requestLimit) {
        return true;
    }
    if (kind == attempt_kind::Hedge) {
        return false;
    }
    const request_limit &limit = *replica.requestLimit;
    const bool mayAsk = now - limit.statedAt > limit.retention && replica.outstanding.empty();
    return tokensAt(limit, now) >= 1.0 || mayAsk;
}

void takeLimitedRequest(replica_state &replica, Core::time_point now)
{
    if (!replica.requestLimit) {
        return;
    }
    request_limit &limit = *replica.requestLimit;
    refill(limit, now);
    limit.tokens = std::max(limit.tokens - 1.0, 0.0);
    ++limit.attempts;
}

void returnLimitedRequest(replica_state &replica, Core::time_point now)
{
    if (!replica.requestLimit) {
        return;
    }
    request_limit &limit = *replica.requestLimit;
    refill(limit, now);
    limit.tokens = std::min(limit.tokens + 1.0, burstOf(limit));
}
} // namespace Forward
