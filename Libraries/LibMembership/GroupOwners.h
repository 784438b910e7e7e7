#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Membership
{
struct fleet_member;

/// The owners of one group of shards, and the number of owners that each data centre is to provide.
struct group_owners {
    std::vector<const fleet_member *> owners;
    std::map<std::string, std::size_t> quotas; ///< Target number of owners, by data centre.
};
} // namespace Membership
