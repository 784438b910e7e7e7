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
/// A daemon's membership view of the fleet.
struct member_table {
    member_record self;
    std::map<std::string, member_state> members; ///< By name, excluding this daemon.
    std::unordered_map<std::uint32_t, std::string> namesById; ///< By recordId().
    std::map<std::string, listed_vm> listedVms; ///< The platform's list, by name, excluding this daemon.
    /// Peer addresses from the settings, used if the store is unavailable at the start.
    std::vector<std::string> seedAddresses;
    Core::time_point lastPeerMessageAt; ///< When the last message from a peer arrived; initially the start time.
    Core::time_point lastStoreResponseAt; ///< When the store last responded; initially the start time.
    std::uint64_t round = 0;
    bool superseded = false; ///< A daemon with a higher incarnation uses this VM's name.
};
} // namespace Membership
