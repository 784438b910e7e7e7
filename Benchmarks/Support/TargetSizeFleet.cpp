#include "Support/TargetSizeFleet.h"

#include "LibMembership/Fleet.h"
#include "LibMembership/RendezvousWeight.h"

#include <string>
#include <utility>

namespace Bench
{
Membership::fleet targetSizeFleet(std::size_t members, std::size_t self)
{
    constexpr std::size_t dataCentres = 4;
    Membership::fleet fleet;
    fleet.self = "vm-" + std::to_string(self);
    for (std::size_t index = 0; index < members; ++index) {
        Membership::fleet_member member;
        member.name = "vm-" + std::to_string(index);
        member.hash = Membership::hashName(member.name);
        member.dataCentre = "dc-" + std::to_string(index % dataCentres);
        fleet.members.push_back(std::move(member));
    }
    return fleet;
}
} // namespace Bench
