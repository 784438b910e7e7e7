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
/// The members that are eligible as owners, by data centre. Data centres whose members are all dead stay in the map
/// with an empty list, so that two regions separated by a network partition do not both assign the whole owner count.
using candidates_by_data_centre = std::map<std::string, std::vector<const fleet_member *>>;

/// Selects `count` owners for each group. The count is divided over the data centres. Within a data centre, members and
/// groups are paired by a stable matching on their rendezvous weights: no member owns more groups than an even
/// distribution requires, and there is no member and group that both prefer each other to their assigned partner.
/// A data centre with too few members provides fewer owners. If no data centre provides any, the members with the
/// highest weights are assigned regardless of data centre.
[[nodiscard]] std::vector<group_owners> assignOwners(const std::vector<std::uint64_t> &groupHashes,
                                                     const candidates_by_data_centre &candidates, std::size_t count);
} // namespace Membership
