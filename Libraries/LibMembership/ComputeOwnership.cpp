#include "LibMembership/ComputeOwnership.h"

#include "LibBackend/ConnectionsPerOwner.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibMembership/AssignOwners.h"
#include "LibMembership/Distance.h"
#include "LibMembership/Fleet.h"
#include "LibMembership/OwnerCount.h"
#include "LibMembership/RendezvousWeight.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Membership
{
namespace
{
/// Inputs and intermediate results that the steps of one computation share.
struct computation {
    const fleet &members;
    const Configuration::configuration_document &document;
    const Configuration::service_settings &service;
    const fleet_member *self = nullptr;
    candidates_by_data_centre candidates;
    std::size_t candidateCount = 0;
};
} // namespace

static void collectCandidates(computation &state)
{
    std::vector<const fleet_member *> excluded;
    for (const fleet_member &member : state.members.members) {
        if (member.name == state.members.self) {
            state.self = &member;
        }
        const bool mayOwn = !member.leaving && !isOut(state.document, member.dataCentre);
        if (!mayOwn) {
            excluded.push_back(&member);
            continue;
        }
        std::vector<const fleet_member *> &found = state.candidates[member.dataCentre];
        if (member.live) {
            found.push_back(&member);
            ++state.candidateCount;
        }
    }
    if (state.candidateCount > 0) {
        return;
    }
    // If every live member is leaving or out of service, they remain owners, since otherwise no replica has an owner.
    for (const fleet_member *member : excluded) {
        if (member->live) {
            state.candidates[member->dataCentre].push_back(member);
            ++state.candidateCount;
        }
    }
}

/// Returns the owners of a group in a fleet in which every member owns every replica.
static group_owners groupOfAllMembers(const computation &state)
{
    group_owners group;
    for (const auto &[dataCentre, members] : state.candidates) {
        group.owners.insert(group.owners.end(), members.begin(), members.end());
        group.quotas[dataCentre] = 1;
    }
    return group;
}

/// Returns the names of the owners that a root sends branch requests to, by ascending distance.
static std::vector<std::string> orderPeers(const computation &state, std::uint64_t groupHash,
                                           const std::vector<const fleet_member *> &owners)
{
    std::vector<std::tuple<distance, std::uint64_t, std::string>> ranked;
    for (const fleet_member *owner : owners) {
        if (owner != state.self) {
            ranked.emplace_back(distanceBetween(state.document, state.self->dataCentre, owner->dataCentre),
                                rendezvousWeight(groupHash ^ state.self->hash, owner->hash), owner->name);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> names;
    names.reserve(ranked.size());
    for (auto &[distanceRank, weight, name] : ranked) {
        names.push_back(std::move(name));
    }
    return names;
}

/// Ranks the owners that may run the slow start of a replica: those in the replica's data centre. If that data centre
/// provides no owners, because there are fewer owners than data centres or no daemon has ever been known there, all
/// owners are ranked.
static void rankSlowStartOwners(const computation &state, const group_owners &group, const std::string &replica,
                                const std::string &dataCentre, Backend::ownership_view &view)
{
    const auto quota = group.quotas.find(dataCentre);
    const bool anyDataCentre = quota == group.quotas.end() || quota->second == 0;
    const std::uint64_t replicaHash = hashName(replica);
    std::vector<std::pair<std::uint64_t, const fleet_member *>> ranked;
    for (const fleet_member *owner : group.owners) {
        if (anyDataCentre || owner->dataCentre == dataCentre) {
            ranked.emplace_back(rendezvousWeight(replicaHash, owner->hash), owner);
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : left.second->name < right.second->name;
    });
    for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
        if (ranked[rank].second == state.self) {
            view.slowStartRanks[replica] = static_cast<std::uint32_t>(rank);
        }
    }
    if (!ranked.empty()) {
        view.slowStartOwners[replica] = ranked.front().second->name;
    }
}

/// Returns the hash of each group of shards of the service.
static std::vector<std::uint64_t> hashGroups(const std::string &service, std::size_t shards, std::size_t groupSize)
{
    std::vector<std::uint64_t> hashes;
    for (std::size_t first = 0; first < shards; first += groupSize) {
        hashes.push_back(hashName(service + "/" + std::to_string(first / groupSize)));
    }
    return hashes;
}

Backend::ownership_view computeOwnership(const fleet &members, const Configuration::configuration_document &document,
                                         const std::string &service)
{
    computation state {members, document, document.services.at(service), nullptr, {}, 0};
    collectCandidates(state);
    std::map<std::string, std::vector<const std::string *>> replicasByShard;
    for (const auto &[name, replica] : state.service.replicas) {
        replicasByShard[replica.shard].push_back(&name);
    }
    const std::size_t groupSize = std::max<std::uint32_t>(document.tier.shardsPerGroup, 1);
    const std::vector<std::uint64_t> groupHashes = hashGroups(service, replicasByShard.size(), groupSize);
    const std::size_t count = ownerCount(document.tier.ownersPerReplica, state.service.connectionLimit,
                                         state.candidateCount, groupHashes.size());
    Backend::ownership_view view;
    const bool allMembersOwn = count >= state.candidateCount && document.tier.ownersPerReplica == 0;
    const std::size_t connectionHolders = allMembersOwn ? count + reservedReplacements : count;
    view.connectionsPerReplica =
        Backend::connectionsPerOwner(state.service.connectionLimit, static_cast<std::uint32_t>(connectionHolders));
    const std::vector<group_owners> groups = allMembersOwn
        ? std::vector<group_owners>(groupHashes.size(), groupOfAllMembers(state))
        : assignOwners(groupHashes, state.candidates, count);
    std::size_t index = 0;
    for (const auto &[shard, replicas] : replicasByShard) {
        const group_owners &group = groups[index / groupSize];
        const std::uint64_t groupHash = groupHashes[index / groupSize];
        ++index;
        for (const std::string *replica : replicas) {
            rankSlowStartOwners(state, group, *replica, state.service.replicas.at(*replica).dataCentre, view);
        }
        if (!allMembersOwn) {
            const bool own = std::find(group.owners.begin(), group.owners.end(), state.self) != group.owners.end();
            view.byShard[shard] = {own, orderPeers(state, groupHash, group.owners)};
        }
    }
    return view;
}
} // namespace Membership
