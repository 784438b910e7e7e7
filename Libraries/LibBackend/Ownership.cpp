#include "LibBackend/Ownership.h"

#include "LibBackend/ServiceState.h"

#include <utility>

namespace Backend
{
void applyOwnership(service_state &service, ownership_view view, Core::time_point now)
{
    service.hasOwnershipView = true;
    service.ownershipConfirmedAt = now;
    service.connectionsPerReplica = view.connectionsPerReplica;
    service.ownersByShard.clear();
    for (auto &[shard, owners] : view.byShard) {
        service.ownersByShard.emplace(shard, std::move(owners));
    }
    for (replica_state &replica : service.replicas) {
        const auto rank = view.slowStartRanks.find(replica.name);
        const std::uint32_t newRank = rank == view.slowStartRanks.end() ? replica_state::noRank : rank->second;
        if (newRank == 0 && replica.slowStartRank != 0) {
            replica.slowStartOwnerSince = now;
        }
        replica.slowStartRank = newRank;
        const auto slowStartOwner = view.slowStartOwners.find(replica.name);
        replica.slowStartOwner =
            slowStartOwner == view.slowStartOwners.end() ? std::string() : std::move(slowStartOwner->second);
    }
}

static bool isConfirmed(const service_state &service, Core::time_point now)
{
    return now - service.ownershipConfirmedAt <= ownershipLifetime;
}

void confirmOwnership(service_state &service, Core::time_point now)
{
    if (!service.hasOwnershipView) {
        return;
    }
    if (!isConfirmed(service, now)) {
        // Another daemon may have run the replicas' slow start in the meantime, so the handover period starts again.
        for (replica_state &replica : service.replicas) {
            replica.slowStartOwnerSince = now;
        }
    }
    service.ownershipConfirmedAt = now;
}

std::vector<std::string> claimedReplicas(const service_state &service)
{
    std::vector<std::string> claimed;
    for (const replica_state &replica : service.replicas) {
        if (!replica.removed && replica.slowStartRank == 0 && replica.slowStart.level == 0) {
            claimed.push_back(replica.name);
        }
    }
    return claimed;
}

void recordClaim(service_state &service, std::string_view name, Core::time_point now)
{
    const auto found = service.byName.find(name);
    if (found != service.byName.end()) {
        service.replicas[found->second].slowStartOwnerSince = now;
    }
}

bool mayRunSlowStart(const service_state &service, const replica_state &replica, Core::time_point now)
{
    if (!service.hasOwnershipView) {
        return true;
    }
    if (replica.slowStartRank != 0 || !isConfirmed(service, now)) {
        return false;
    }
    // The predecessor stops at the latest when its view expires. Its last request ends at most one deadline later.
    return now - replica.slowStartOwnerSince > ownershipLifetime + service.maximumRequestDuration;
}
} // namespace Backend
