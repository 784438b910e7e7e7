#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Membership
{
struct fleet_member;

/// The owners of one group of shards, and the data centres that were to give some.
struct group_owners {
    std::vector<const fleet_member *> owners;
    std::map<std::string, std::size_t> quotas; ///< Owners wanted by data centre.
};
} // namespace Membership
