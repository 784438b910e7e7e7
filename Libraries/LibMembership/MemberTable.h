#pragma once

#include "LibCore/Time.h"
#include "LibMembership/ListedVm.h"
#include "LibMembership/MemberState.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Membership
{
/// What one daemon knows of the fleet.
struct member_table {
    member_record self;
    std::map<std::string, member_state> members; ///< By name, without this daemon.
    std::unordered_map<std::uint32_t, std::string> namesById; ///< By recordId().
    std::map<std::string, listed_vm> listed; ///< The platform's list, by name, without this daemon.
    std::vector<std::string>
        seedAddresses; ///< Peer addresses from the settings, for a store that is down at the start.
    Core::time_point peerHeardAt; ///< When a peer was last heard, or the start.
    Core::time_point storeHeardAt; ///< When the store last answered, or the start.
    std::uint64_t round = 0;
    bool superseded = false; ///< A newer daemon has this VM's name.
};
} // namespace Membership
