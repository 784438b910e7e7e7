#include "LibForward/ReplicaList.h"

#include "LibForward/ReplicaTable.h"

#include <algorithm>

namespace Forward
{
std::size_t serviceIndex(replica_book &book, const std::string &name)
{
    const auto [found, isNew] = book.servicesByName.try_emplace(name, book.services.size());
    if (isNew) {
        book.services.push_back(std::make_unique<service_state>());
        book.services.back()->name = name;
    }
    return found->second;
}

replica_state &replicaAt(replica_book &book, const replica_key &key)
{
    return book.services[key.service]->replicas[key.replica];
}

static locality distanceTo(const replica_book &book, const std::string &dataCentre)
{
    if (dataCentre == book.ownDataCentre) {
        return locality::SameDataCentre;
    }
    const auto own = book.regionsByDataCentre.find(book.ownDataCentre);
    const auto other = book.regionsByDataCentre.find(dataCentre);
    const bool known = own != book.regionsByDataCentre.end() && other != book.regionsByDataCentre.end();
    return known && own->second == other->second ? locality::SameRegion : locality::OtherRegion;
}

static std::optional<replica_key> findReplica(const replica_book &book, const std::string &id)
{
    for (std::size_t service = 0; service < book.services.size(); ++service) {
        const std::vector<replica_state> &replicas = book.services[service]->replicas;
        for (std::size_t index = 0; index < replicas.size(); ++index) {
            if (!replicas[index].gone && replicas[index].entry.id == id) {
                return replica_key {service, index};
            }
        }
    }
    return std::nullopt;
}

static replica_key freePlace(replica_book &book, std::size_t serviceIndex)
{
    std::vector<replica_state> &replicas = book.services[serviceIndex]->replicas;
    const auto reusable = std::find_if(replicas.begin(), replicas.end(), [](const replica_state &replica) {
        return replica.gone && replica.outstanding.empty();
    });
    if (reusable != replicas.end()) {
        return {serviceIndex, static_cast<std::size_t>(reusable - replicas.begin())};
    }
    replicas.emplace_back();
    return {serviceIndex, replicas.size() - 1};
}

std::optional<replica_key> applyEntry(replica_book &book, const replica_entry &entry, Core::time_point now)
{
    const std::optional<replica_key> known = findReplica(book, entry.id);
    if (known) {
        replica_state &replica = replicaAt(book, *known);
        const bool sameStart = replica.entry.startedAt == entry.startedAt && replica.entry.address == entry.address
            && replica.entry.service == entry.service;
        if (sameStart) {
            replica.entry = entry;
            replica.coldUntil = now + entry.coldFor;
            replica.missing = false;
            return std::nullopt;
        }
        replica.gone = true;
    }
    const replica_key place = freePlace(book, serviceIndex(book, entry.service));
    replica_state &replica = replicaAt(book, place);
    replica = {};
    replica.entry = entry;
    replica.distance = distanceTo(book, entry.dataCentre);
    replica.coldUntil = now + entry.coldFor;
    return place;
}

void markMissing(replica_book &book, const std::string &id)
{
    if (const std::optional<replica_key> known = findReplica(book, id)) {
        replicaAt(book, *known).missing = true;
    }
}

std::optional<replica_key> removeEntry(replica_book &book, const std::string &id)
{
    const std::optional<replica_key> known = findReplica(book, id);
    if (known) {
        replicaAt(book, *known).gone = true;
    }
    return known;
}

std::vector<std::string> registeredIds(const replica_book &book)
{
    std::vector<std::string> ids;
    for (const auto &service : book.services) {
        for (const replica_state &replica : service->replicas) {
            if (!replica.gone) {
                ids.push_back(replica.entry.id);
            }
        }
    }
    return ids;
}
} // namespace Forward
