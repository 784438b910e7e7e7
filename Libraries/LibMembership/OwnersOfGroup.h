#pragma once

#include "LibMembership/FleetMember.h"
#include "LibMembership/GroupOwners.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Membership
{
/// The members that may own something, by data centre. The data centres include those whose members are all dead, so
/// that regions that have lost each other do not both take the whole count.
using candidates_by_data_centre = std::map<std::string, std::vector<const fleet_member *>>;

/// Picks `count` owners of a group by rendezvous hashing: the count is divided over the data centres, and each data
/// centre gives its members with the highest weights. A member that comes or goes moves only the groups that it owns.
/// A data centre that has too few members gives fewer, unless no owner would be left at all.
[[nodiscard]] group_owners ownersOfGroup(std::uint64_t groupHash, const candidates_by_data_centre &candidates,
                                         std::size_t count);
} // namespace Membership
