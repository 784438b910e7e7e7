#include "LibBackend/Ownership.h"
#include "LibBackend/OwnershipView.h"
#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ServiceState.h"
#include "LibMembership/ComputeOwnership.h"
#include "LibMembership/Fleet.h"
#include "LibMembership/RendezvousWeight.h"
#include "Measures.h"
#include "ProcessorTime.h"
#include "Support/TargetSizeDocument.h"

#include <algorithm>
#include <numeric>

namespace Capacity
{
static Membership::fleet makeFleet(std::size_t members)
{
    Membership::fleet fleet;
    fleet.self = "vm-0";
    for (std::size_t index = 0; index < members; ++index) {
        Membership::fleet_member member;
        member.name = "vm-" + std::to_string(index);
        member.hash = Membership::hashName(member.name);
        member.dataCentre = "dc-" + std::to_string(index % 4);
        fleet.members.push_back(std::move(member));
    }
    return fleet;
}

/// Returns how many of the 520 shards each daemon of the fleet owns.
static std::vector<std::size_t> countOwned(Membership::fleet fleet,
                                           const Configuration::configuration_document &document)
{
    std::vector<std::size_t> counts;
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
    const Membership::fleet fleet = makeFleet(590);
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

std::vector<measurement> measureOwnership()
{
    const auto document = Bench::targetSizeDocument(4600, 520);
    measurement compute {
        "membership", "ownership of 4,600 replicas, on each change of members", "ms", "daemons", {}, {}, 590, 9};
    measurement apply {"health", "take a new ownership", "ms", "daemons", {}, {}, 590, 9};
    for (const std::size_t members : {59U, 148U, 295U, 590U}) {
        const Membership::fleet fleet = makeFleet(members);
        const Backend::ownership_view view = Membership::computeOwnership(fleet, document, "search");
        compute.values.push_back(Core::toMilliseconds(
            measureRuns(3, [&] { static_cast<void>(Membership::computeOwnership(fleet, document, "search")); })));
        Backend::service_state service;
        Backend::applyConfiguration(service, document, document.services.at("search"), {});
        apply.values.push_back(
            Core::toMilliseconds(measureRuns(3, [&] { Backend::applyOwnership(service, view, {}); })));
        for (measurement *each : {&compute, &apply}) {
            each->sizes.push_back(static_cast<double>(members));
        }
    }
    std::vector<measurement> all = measureSpread();
    all.push_back(std::move(compute));
    all.push_back(std::move(apply));
    return all;
}
} // namespace Capacity
