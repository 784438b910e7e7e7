#include "LibBackend/Ownership.h"
#include "LibBackend/OwnershipView.h"
#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ServiceState.h"
#include "LibMembership/ComputeOwnership.h"
#include "LibMembership/Fleet.h"
#include "LibMembership/RendezvousWeight.h"
#include "Measures.h"
#include "Support/ProcessorTime.h"
#include "Support/TargetSizeDocument.h"
#include "Support/TargetSizeFleet.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

namespace Capacity
{
/// Returns how many of the 520 shards each daemon of the fleet owns.
static std::vector<std::size_t> countOwned(Membership::fleet fleet,
                                           const Configuration::configuration_document &document)
{
    std::vector<std::size_t> counts;
    counts.reserve(fleet.members.size());
    for (const Membership::fleet_member &member : fleet.members) {
        fleet.self = member.name;
        const Backend::ownership_view view = Membership::computeOwnership(fleet, document, "search");
        counts.push_back(static_cast<std::size_t>(std::count_if(view.byShard.begin(), view.byShard.end(),
                                                                [](const auto &entry) { return entry.second.own; })));
    }
    return counts;
}

/// Measures how evenly the work of branches is spread over 590 daemons, by the size of the shard groups.
static std::vector<measurement> measureSpread()
{
    measurement most {"branch", "most shards that a daemon owns / mean, 590 daemons", "", "shards a group", {}, {}, 16,
                      1};
    measurement idle {"branch", "daemons of 590 that own nothing", "daemons", "shards a group", {}, {}, 16, 1};
    auto document = Bench::targetSizeDocument(4600, 520);
    const Membership::fleet fleet = Bench::targetSizeFleet(590);
    for (const std::uint32_t shardsPerGroup : {2U, 4U, 8U, 16U}) {
        document.tier.shardsPerGroup = shardsPerGroup;
        const std::vector<std::size_t> counts = countOwned(fleet, document);
        const auto total = std::accumulate(counts.begin(), counts.end(), std::size_t(0));
        const double mean = static_cast<double>(total) / static_cast<double>(counts.size());
        for (measurement *each : {&most, &idle}) {
            each->sizes.push_back(shardsPerGroup);
        }
        most.values.push_back(static_cast<double>(*std::max_element(counts.begin(), counts.end())) / mean);
        idle.values.push_back(static_cast<double>(std::count(counts.begin(), counts.end(), std::size_t(0))));
    }
    return {most, idle};
}

/// Returns the shards' owners in the order of rank, as a daemon outside of them sees it.
static std::map<std::string, std::set<std::string>> ownersByShard(Membership::fleet fleet,
                                                                  const Configuration::configuration_document &document)
{
    std::map<std::string, std::set<std::string>> owners;
    fleet.self = fleet.members.front().name;
    for (const auto &[shard, found] : Membership::computeOwnership(fleet, document, "search").byShard) {
        owners[shard].insert(found.peers.begin(), found.peers.end());
        if (found.own) {
            owners[shard].insert(fleet.self);
        }
    }
    return owners;
}

/// Counts the groups that members of both fleets own in only one of them.
static std::size_t countMoves(const Membership::fleet &before, const Membership::fleet &after,
                              const Configuration::configuration_document &document)
{
    const auto old = ownersByShard(before, document);
    const auto next = ownersByShard(after, document);
    std::set<std::string> gone;
    for (const Membership::fleet_member &member : after.members) {
        if (!member.live) {
            gone.insert(member.name);
        }
    }
    std::size_t shards = 0;
    for (const auto &[shard, owners] : old) {
        for (const std::string &owner : owners) {
            shards += gone.contains(owner) || next.at(shard).contains(owner) ? 0 : 1;
        }
    }
    return shards / document.tier.shardsPerGroup;
}

/// Measures the ownerships that members which stay lose or gain when one of the fleet goes, as the mean over 20 losses.
static measurement measureMovement()
{
    measurement moved {
        "branch", "groups that move between staying daemons when one goes", "groups", "daemons", {}, {}, 590, 9};
    auto document = Bench::targetSizeDocument(4600, 520);
    for (const std::size_t members : {59U, 148U, 295U, 590U}) {
        const Membership::fleet whole = Bench::targetSizeFleet(members);
        std::size_t changes = 0;
        constexpr std::size_t losses = 20;
        for (std::size_t loss = 0; loss < losses; ++loss) {
            Membership::fleet fleet = whole;
            const std::size_t lost = loss * members / losses;
            fleet.members[lost].live = false;
            changes += countMoves(whole, fleet, document);
        }
        moved.sizes.push_back(static_cast<double>(members));
        moved.values.push_back(static_cast<double>(changes) / losses);
    }
    return moved;
}

std::vector<measurement> measureOwnership()
{
    const auto document = Bench::targetSizeDocument(4600, 520);
    measurement compute {
        "membership", "ownership of 4,600 replicas, on each change of members", "ms", "daemons", {}, {}, 590, 9};
    measurement apply {"health", "take a new ownership", "ms", "daemons", {}, {}, 590, 9};
    for (const std::size_t members : {59U, 148U, 295U, 590U}) {
        const Membership::fleet fleet = Bench::targetSizeFleet(members);
        const Backend::ownership_view view = Membership::computeOwnership(fleet, document, "search");
        compute.values.push_back(Core::toMilliseconds(Bench::measureRuns(
            3, [&] { static_cast<void>(Membership::computeOwnership(fleet, document, "search")); })));
        Backend::service_state service;
        Backend::applyConfiguration(service, document, document.services.at("search"), {});
        apply.values.push_back(
            Core::toMilliseconds(Bench::measureRuns(3, [&] { Backend::applyOwnership(service, view, {}); })));
        for (measurement *each : {&compute, &apply}) {
            each->sizes.push_back(static_cast<double>(members));
        }
    }
    std::vector<measurement> all = measureSpread();
    all.push_back(measureMovement());
    all.push_back(std::move(compute));
    all.push_back(std::move(apply));
    return all;
}
} // namespace Capacity
