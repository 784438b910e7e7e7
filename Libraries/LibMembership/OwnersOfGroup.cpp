#include "LibMembership/OwnersOfGroup.h"

#include "LibMembership/RendezvousWeight.h"

#include <algorithm>
#include <utility>

namespace Membership
{
using weighted_member = std::pair<std::uint64_t, const fleet_member *>;

static bool comesFirst(const weighted_member &left, const weighted_member &right)
{
    return left.first != right.first ? left.first > right.first : left.second->name < right.second->name;
}

/// Appends the `count` members with the highest weights for the group.
static void appendBest(std::uint64_t groupHash, const std::vector<const fleet_member *> &members, std::size_t count,
                       std::vector<const fleet_member *> &owners)
{
    std::vector<weighted_member> weighted;
    weighted.reserve(members.size());
    for (const fleet_member *member : members) {
        weighted.emplace_back(rendezvousWeight(groupHash, member->hash), member);
    }
    const std::size_t kept = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept), weighted.end(),
                      comesFirst);
    for (std::size_t index = 0; index < kept; ++index) {
        owners.push_back(weighted[index].second);
    }
}

/// Divides the count evenly; the data centres with the highest weights for the group take what is left over.
static std::map<std::string, std::size_t> divideCount(std::uint64_t groupHash,
                                                      const candidates_by_data_centre &candidates, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto &[dataCentre, members] : candidates) {
        ranked.emplace_back(rendezvousWeight(groupHash, hashName(dataCentre)), dataCentre);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::map<std::string, std::size_t> quotas;
    for (std::size_t index = 0; index < ranked.size(); ++index) {
        const std::size_t extra = index < count % ranked.size() ? 1 : 0;
        quotas[ranked[index].second] = count / ranked.size() + extra;
    }
    return quotas;
}

group_owners ownersOfGroup(std::uint64_t groupHash, const candidates_by_data_centre &candidates, std::size_t count)
{
    group_owners result;
    if (candidates.empty()) {
        return result;
    }
    result.quotas = divideCount(groupHash, candidates, count);
    for (const auto &[dataCentre, members] : candidates) {
        appendBest(groupHash, members, result.quotas.at(dataCentre), result.owners);
    }
    if (result.owners.empty()) {
        std::vector<const fleet_member *> all;
        for (const auto &[dataCentre, members] : candidates) {
            all.insert(all.end(), members.begin(), members.end());
        }
        appendBest(groupHash, all, count, result.owners);
    }
    return result;
}
} // namespace Membership
