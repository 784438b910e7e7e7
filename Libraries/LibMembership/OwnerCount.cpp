#include "LibMembership/OwnerCount.h"

#include "LibBackend/ConnectionsPerOwner.h"

#include <algorithm>

namespace Membership
{
/// With fewer owners, the loss of one closes a large fraction of a replica's connections. With more, each branch covers
/// fewer replicas.
static constexpr std::uint32_t preferredOwners = 16;
static constexpr std::uint32_t minimumConnections = 2;

/// Returns the owner count near `owners` for which `groups` x count is a multiple of `members`, or just below one, so
/// that members own nearly the same number of groups.
static std::size_t balancedOwnerCount(std::size_t owners, std::uint32_t connectionLimit, std::size_t members,
                                      std::size_t groups)
{
    const std::size_t groupsPerMember = std::max<std::size_t>(1, (groups * owners + members / 2) / members);
    std::size_t count = std::max<std::size_t>(1, groupsPerMember * members / groups);
    while (count > 1 && Backend::connectionsPerOwner(connectionLimit, static_cast<std::uint32_t>(count)) == 0) {
        --count;
    }
    return std::min(count, members);
}

std::size_t ownerCount(std::uint32_t configured, std::uint32_t connectionLimit, std::size_t members, std::size_t groups)
{
    if (configured > 0) {
        return std::min<std::size_t>(configured, members);
    }
    const auto memberCount = static_cast<std::uint32_t>(members);
    // In a small fleet every member owns every replica, even with a single connection each: this saves the extra hop.
    const bool isSmall = memberCount <= preferredOwners
        && Backend::connectionsPerOwner(connectionLimit, memberCount + reservedReplacements) > 0;
    if (isSmall || Backend::connectionsPerOwner(connectionLimit, memberCount) >= minimumConnections) {
        return members;
    }
    std::uint32_t owners = preferredOwners;
    while (owners > 1 && Backend::connectionsPerOwner(connectionLimit, owners) < minimumConnections) {
        --owners;
    }
    return balancedOwnerCount(owners, connectionLimit, members, std::max<std::size_t>(groups, 1));
}
} // namespace Membership
