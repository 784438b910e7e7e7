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

std::vector<measurement> measureOwnership()
{
    const auto document = Bench::targetSizeDocument(4600, 520);
    measurement compute {
        "membership", "ownership of 4,600 replicas, on each change of members", "ms", "daemons", {}, {}, 590, 9};
    measurement apply {"health", "take a new ownership", "ms", "daemons", {}, {}, 590, 9};
    measurement owned {"branch", "shards that one daemon owns of 520", "shards", "daemons", {}, {}, 590, 9};
    for (const std::size_t members : {59U, 148U, 295U, 590U}) {
        const Membership::fleet fleet = makeFleet(members);
        const Backend::ownership_view view = Membership::computeOwnership(fleet, document, "search");
        std::size_t own = 0;
        for (const auto &[shard, owners] : view.byShard) {
            own += owners.own ? 1 : 0;
        }
        owned.values.push_back(static_cast<double>(own));
        compute.values.push_back(Core::toMilliseconds(
            measureRuns(3, [&] { static_cast<void>(Membership::computeOwnership(fleet, document, "search")); })));
        Backend::service_state service;
        Backend::applyConfiguration(service, document, document.services.at("search"), {});
        apply.values.push_back(
            Core::toMilliseconds(measureRuns(3, [&] { Backend::applyOwnership(service, view, {}); })));
        for (measurement *each : {&compute, &apply, &owned}) {
            each->sizes.push_back(static_cast<double>(members));
        }
    }
    return {compute, apply, owned};
}
} // namespace Capacity
