#include "LibConfiguration/ConfigurationDocument.h"
#include "LibMembership/ComputeOwnership.h"
#include "LibMembership/Fleet.h"
#include "LibMembership/OwnerCount.h"
#include "LibMembership/RendezvousWeight.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

using Membership::fleet;

static constexpr int dataCentres = 4;
static constexpr int shards = 64;

static std::string dataCentreName(int index)
{
    return "dc" + std::to_string(index % dataCentres);
}

static fleet makeFleet(int members)
{
    fleet created;
    for (int index = 0; index < members; ++index) {
        const std::string name = "vm" + std::to_string(1000 + index);
        created.members.push_back({name, Membership::hashName(name), dataCentreName(index), true, false});
    }
    return created;
}

static Configuration::configuration_document makeDocument(std::uint32_t owners, std::uint32_t connectionLimit)
{
    Configuration::configuration_document document;
    document.tier.ownersPerReplica = owners;
    document.tier.shardsPerGroup = 4;
    for (int index = 0; index < dataCentres; ++index) {
        document.dataCentres[dataCentreName(index)].region = index < dataCentres / 2 ? "north" : "south";
    }
    Configuration::service_settings &service = document.services["search"];
    service.connectionLimit = connectionLimit;
    for (int shard = 0; shard < shards; ++shard) {
        for (int replica = 0; replica < 3; ++replica) {
            const std::string name = "s" + std::to_string(shard) + "-r" + std::to_string(replica);
            service.replicas[name] = {"s" + std::to_string(shard), "", dataCentreName(replica), "v1", false};
        }
    }
    return document;
}

/// The members that own each shard, and the connections that they hold to each of its replicas, where every member
/// computes its own ownership from its own view.
struct ownership_claims {
    std::map<std::string, std::set<std::string>> ownersByShard;
    std::map<std::string, std::uint32_t> connectionsByShard;
    std::map<std::string, int> slowStartOwnersByReplica;
};

static void addClaims(fleet view, const std::string &self, const Configuration::configuration_document &document,
                      ownership_claims &result)
{
    view.self = self;
    const Backend::ownership_view ownership = Membership::computeOwnership(view, document, "search");
    for (int shard = 0; shard < shards; ++shard) {
        const std::string name = "s" + std::to_string(shard);
        const auto found = ownership.byShard.find(name);
        if (found == ownership.byShard.end() || found->second.own) {
            result.ownersByShard[name].insert(self);
            result.connectionsByShard[name] += ownership.connectionsPerReplica;
        }
    }
    for (const auto &[replica, rank] : ownership.slowStartRanks) {
        result.slowStartOwnersByReplica[replica] += rank == 0 ? 1 : 0;
    }
}

static ownership_claims collectClaims(const fleet &view, const Configuration::configuration_document &document)
{
    ownership_claims result;
    for (const Membership::fleet_member &member : view.members) {
        if (member.live) {
            addClaims(view, member.name, document, result);
        }
    }
    return result;
}

/// Counts the ownerships that members other than `removedMember` hold before but not after.
static std::size_t countMovedOwnerships(const ownership_claims &before, const ownership_claims &after,
                                        const std::string &removedMember)
{
    std::size_t moved = 0;
    for (const auto &[shard, owners] : before.ownersByShard) {
        for (const std::string &owner : owners) {
            moved += owner == removedMember || after.ownersByShard.at(shard).contains(owner) ? 0 : 1;
        }
    }
    return moved;
}

RC_GTEST_PROP(Ownership, MovesFewOwnershipsWhenOneMemberIsRemoved, ())
{
    const fleet fullFleet = makeFleet(*rc::gen::inRange(8, 40));
    const auto document = makeDocument(*rc::gen::inRange<std::uint32_t>(4, 17), 110);
    const ownership_claims before = collectClaims(fullFleet, document);
    std::size_t ownerships = 0;
    for (const auto &[shard, owners] : before.ownersByShard) {
        ownerships += owners.size();
    }
    std::size_t moved = 0;
    for (const Membership::fleet_member &member : fullFleet.members) {
        fleet remainingFleet = fullFleet;
        const auto removedMember = std::find(remainingFleet.members.begin(), remainingFleet.members.end(), member);
        removedMember->live = false;
        moved += countMovedOwnerships(before, collectClaims(remainingFleet, document), member.name);
    }
    // Averaged over the removed members, at most twice as many ownerships move between the others as the removed one
    // had.
    RC_ASSERT(moved <= 2 * ownerships);
}

RC_GTEST_PROP(Ownership, DistributesGroupsEvenlyOverMembers, ())
{
    const fleet fullFleet = makeFleet(*rc::gen::inRange(18, 150));
    const ownership_claims result =
        collectClaims(fullFleet, makeDocument(0, *rc::gen::inRange<std::uint32_t>(20, 120)));
    std::map<std::string, std::size_t> ownershipsByMember;
    std::size_t ownerships = 0;
    for (const auto &[shard, owners] : result.ownersByShard) {
        for (const std::string &owner : owners) {
            ++ownershipsByMember[owner];
            ++ownerships;
        }
    }
    constexpr std::size_t groupSize = 4;
    for (const auto &[owner, owned] : ownershipsByMember) {
        RC_ASSERT(owned * fullFleet.members.size() <= ownerships * 3 / 2 + groupSize * fullFleet.members.size());
    }
    RC_ASSERT(ownershipsByMember.size() * 10 >= fullFleet.members.size() * 6
              || ownershipsByMember.size() >= ownerships / groupSize);
}

RC_GTEST_PROP(Ownership, StaysWithinConnectionLimitForAnyFleetSize, ())
{
    const fleet all = makeFleet(*rc::gen::inRange(1, 150));
    const auto limit = *rc::gen::inRange<std::uint32_t>(10, 120);
    const auto document = makeDocument(0, limit);
    const ownership_claims result = collectClaims(all, document);
    for (int shard = 0; shard < shards; ++shard) {
        const std::string name = "s" + std::to_string(shard);
        RC_ASSERT(!result.ownersByShard.at(name).empty());
        RC_ASSERT(result.connectionsByShard.at(name) <= limit);
        RC_ASSERT(result.connectionsByShard.at(name) > 0);
    }
}

RC_GTEST_PROP(Ownership, StaysWithinConnectionLimitWhenRegionsDisagree, ())
{
    const fleet fullFleet = makeFleet(*rc::gen::inRange(100, 200));
    const auto limit = *rc::gen::inRange<std::uint32_t>(20, 120);
    const auto document = makeDocument(0, limit);
    ownership_claims result;
    for (const Membership::fleet_member &member : fullFleet.members) {
        fleet view = fullFleet;
        for (Membership::fleet_member &other : view.members) {
            other.live =
                document.dataCentres.at(other.dataCentre).region == document.dataCentres.at(member.dataCentre).region;
        }
        addClaims(view, member.name, document, result);
    }
    for (const auto &[shard, connections] : result.connectionsByShard) {
        RC_ASSERT(connections <= limit);
    }
}

RC_GTEST_PROP(Ownership, HasAtMostOneSlowStartOwnerPerReplicaWhenRegionsDisagree, ())
{
    const fleet fullFleet = makeFleet(*rc::gen::inRange(9, 80));
    const auto document = makeDocument(*rc::gen::inRange<std::uint32_t>(0, 17), 110);
    const ownership_claims agreed = collectClaims(fullFleet, document);
    for (const auto &[replica, slowStartOwners] : agreed.slowStartOwnersByReplica) {
        RC_ASSERT(slowStartOwners == 1);
    }
    if (document.tier.ownersPerReplica < dataCentres) {
        return; // Without owners in a data centre, any owner may run the slow start, and a partition may yield two.
    }
    ownership_claims partitioned;
    for (const Membership::fleet_member &member : fullFleet.members) {
        fleet view = fullFleet;
        for (Membership::fleet_member &other : view.members) {
            other.live =
                document.dataCentres.at(other.dataCentre).region == document.dataCentres.at(member.dataCentre).region;
        }
        addClaims(view, member.name, document, partitioned);
    }
    for (const auto &[replica, slowStartOwners] : partitioned.slowStartOwnersByReplica) {
        RC_ASSERT(slowStartOwners <= 1);
    }
}

TEST(Ownership, AssignsAllReplicasToEachDaemonWhenFleetHasNineMembers)
{
    for (const std::uint32_t limit : {25U, 30U, 40U, 110U}) {
        fleet view = makeFleet(9);
        view.self = view.members.front().name;
        const auto ownership = Membership::computeOwnership(view, makeDocument(0, limit), "search");
        EXPECT_TRUE(ownership.byShard.empty()) << limit;
        EXPECT_GE(ownership.connectionsPerReplica, 2U) << limit;
        EXPECT_LE(11 * ownership.connectionsPerReplica, limit) << "connections of two replaced VMs may remain open";
    }
    // At the target fleet size each daemon owns one of the 33 groups, so that no daemon has twice the load of another.
    EXPECT_EQ(Membership::ownerCount(0, 110, 590, 33), 590U / 33U);
    EXPECT_EQ(Membership::ownerCount(0, 25, 590, 33), 590U / 33U);
}
