#include "LibBackend/Ownership.h"

#include "LibBackend/ServiceState.h"

#include <utility>

namespace Backend
{
void applyOwnership(service_state &service, ownership_view view, Core::time_point now)
{
    service.ownershipKnown = true;
    service.ownershipConfirmedAt = now;
    service.connectionsPerReplica = view.connectionsPerReplica;
    service.ownersByShard.clear();
    for (auto &[shard, owners] : view.byShard) {
        service.ownersByShard.emplace(shard, std::move(owners));
    }
    for (replica_state &replica : service.replicas) {
        const auto rank = view.warmerRanks.find(replica.name);
        const std::uint32_t newRank = rank == view.warmerRanks.end() ? replica_state::noRank : rank->second;
        if (newRank == 0 && replica.warmerRank != 0) {
            replica.warmerSince = now;
        }
        replica.warmerRank = newRank;
        const auto warmer = view.warmers.find(replica.name);
        replica.warmer = warmer == view.warmers.end() ? std::string() : std::move(warmer->second);
    }
}

static bool isConfirmed(const service_state &service, Core::time_point now)
{
    return now - service.ownershipConfirmedAt <= ownershipLifetime;
}

void confirmOwnership(service_state &service, Core::time_point now)
{
    if (!service.ownershipKnown) {
        return;
    }
    if (!isConfirmed(service, now)) {
        // Another daemon may have run the replicas' slow start in the meantime, so the handover period starts again.
        for (replica_state &replica : service.replicas) {
            replica.warmerSince = now;
        }
    }
    service.ownershipConfirmedAt = now;
}

std::vector<std::string> claimedReplicas(const service_state &service)
{
    std::vector<std::string> claimed;
    for (const replica_state &replica : service.replicas) {
        if (!replica.removed && replica.warmerRank == 0 && replica.warmth.level == 0) {
            claimed.push_back(replica.name);
        }
    }
    return claimed;
}

void observeClaim(service_state &service, std::string_view name, Core::time_point now)
{
    const auto found = service.byName.find(name);
    if (found != service.byName.end()) {
        service.replicas[found->second].warmerSince = now;
    }
}

bool mayWarm(const service_state &service, const replica_state &replica, Core::time_point now)
{
    if (!service.ownershipKnown) {
        return true;
    }
    if (replica.warmerRank != 0 || !isConfirmed(service, now)) {
        return false;
    }
    // The predecessor stops at the latest when its view expires. Its last request ends at most one deadline later.
    return now - replica.warmerSince > ownershipLifetime + service.longestRequest;
}
} // namespace Backend
