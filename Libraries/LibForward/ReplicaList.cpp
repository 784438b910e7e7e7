#include "LibForward/ReplicaList.h"

#include "LibForward/ReplicaNotices.h"
#include "LibForward/ReplicaTable.h"

#include <algorithm>

namespace Forward
{
std::size_t serviceIndex(replica_table &replicaTable, const std::string &name)
{
    const auto [found, isNew] = replicaTable.servicesByName.try_emplace(name, replicaTable.services.size());
    if (isNew) {
        replicaTable.services.push_back(std::make_unique<service_state>());
        replicaTable.services.back()->name = name;
    }
    return found->second;
}

replica_state &replicaAt(replica_table &replicaTable, const replica_key &key)
{
    return replicaTable.services[key.service]->replicas[key.replica];
}

static locality distanceTo(const replica_table &replicaTable, const std::string &dataCentre)
{
    if (dataCentre == replicaTable.ownDataCentre) {
        return locality::SameDataCentre;
    }
    const auto own = replicaTable.regionsByDataCentre.find(replicaTable.ownDataCentre);
    const auto other = replicaTable.regionsByDataCentre.find(dataCentre);
    const bool known = own != replicaTable.regionsByDataCentre.end() && other != replicaTable.regionsByDataCentre.end();
    return known && own->second == other->second ? locality::SameRegion : locality::OtherRegion;
}

static std::optional<replica_key> findReplica(const replica_table &replicaTable, const std::string &id)
{
    for (std::size_t service = 0; service < replicaTable.services.size(); ++service) {
        const std::vector<replica_state> &replicas = replicaTable.services[service]->replicas;
        for (std::size_t index = 0; index < replicas.size(); ++index) {
            if (!replicas[index].removed && replicas[index].registration.id == id) {
                return replica_key {service, index};
            }
        }
    }
    return std::nullopt;
}

static replica_key allocateSlot(replica_table &replicaTable, std::size_t serviceIndex)
{
    std::vector<replica_state> &replicas = replicaTable.services[serviceIndex]->replicas;
    const auto reusable = std::find_if(replicas.begin(), replicas.end(), [](const replica_state &replica) {
        return replica.removed && replica.outstanding.empty();
    });
    if (reusable != replicas.end()) {
        return {serviceIndex, static_cast<std::size_t>(reusable - replicas.begin())};
    }
    replicas.emplace_back();
    return {serviceIndex, replicas.size() - 1};
}

static void updateVersions(service_state &service)
{
    const std::string *version = nullptr;
    service.hasSeveralVersions = false;
    for (const replica_state &replica : service.replicas) {
        if (replica.removed) {
            continue;
        }
        service.hasSeveralVersions =
            service.hasSeveralVersions || (version != nullptr && *version != replica.registration.version);
        version = &replica.registration.version;
    }
    if (version != nullptr && !service.hasSeveralVersions) {
        service.establishedVersion = *version;
    }
}

const std::string &establishedVersion(service_state &service)
{
    const replica_state *oldest = nullptr;
    for (const replica_state &replica : service.replicas) {
        if (replica.removed || replica.leavesAt) {
            continue;
        }
        if (replica.registration.version == service.establishedVersion) {
            return service.establishedVersion;
        }
        if (oldest == nullptr || replica.registration.startedAt < oldest->registration.startedAt) {
            oldest = &replica;
        }
    }
    if (oldest != nullptr) {
        service.establishedVersion = oldest->registration.version;
    }
    return service.establishedVersion;
}

std::optional<replica_key> applyRegistration(replica_table &replicaTable, const replica_registration &registration,
                                             Core::time_point now)
{
    const std::optional<replica_key> known = findReplica(replicaTable, registration.id);
    if (known) {
        replica_state &replica = replicaAt(replicaTable, *known);
        const bool sameStart = replica.registration.startedAt == registration.startedAt
            && replica.registration.address == registration.address
            && replica.registration.service == registration.service;
        if (sameStart) {
            replica.registration = registration;
            updateVersions(*replicaTable.services[known->service]);
            replica.coldUntil = now + registration.remainingSlowStart;
            replica.missing = false;
            if (registration.draining) {
                recordDeparture(replicaTable, replica, now);
            } else if (!replica.shuttingDown) {
                replica.leavesAt.reset();
            }
            return std::nullopt;
        }
        replica.removed = true;
        updateVersions(*replicaTable.services[known->service]);
    }
    const replica_key slot = allocateSlot(replicaTable, serviceIndex(replicaTable, registration.service));
    replica_state &replica = replicaAt(replicaTable, slot);
    replica = {};
    replica.registration = registration;
    replica.distance = distanceTo(replicaTable, registration.dataCentre);
    replica.coldUntil = now + registration.remainingSlowStart;
    restoreNotices(replicaTable, replica);
    if (registration.draining) {
        recordDeparture(replicaTable, replica, now);
    }
    updateVersions(*replicaTable.services[slot.service]);
    return slot;
}

void markMissing(replica_table &replicaTable, const std::string &id, Core::time_point learnedAt)
{
    if (const std::optional<replica_key> known = findReplica(replicaTable, id)) {
        replica_state &replica = replicaAt(replicaTable, *known);
        replica.missing = true;
        replica.missingSince = learnedAt;
    }
}

std::optional<replica_key> removeReplica(replica_table &replicaTable, const std::string &id)
{
    const std::optional<replica_key> known = findReplica(replicaTable, id);
    if (known) {
        replicaAt(replicaTable, *known).removed = true;
        rememberNotices(replicaTable, replicaAt(replicaTable, *known));
        updateVersions(*replicaTable.services[known->service]);
    }
    return known;
}

std::vector<std::string> registeredReplicaIds(const replica_table &replicaTable)
{
    std::vector<std::string> ids;
    for (const auto &service : replicaTable.services) {
        for (const replica_state &replica : service->replicas) {
            if (!replica.removed) {
                ids.push_back(replica.registration.id);
            }
        }
    }
    return ids;
}
} // namespace Forward
