#include "LibMembership/AssignOwners.h"

#include "LibMembership/RendezvousWeight.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Membership
{
namespace
{
using weighted_member = std::pair<std::uint64_t, const fleet_member *>;

struct prefers_higher {
    bool operator()(const weighted_member &left, const weighted_member &right) const
    {
        return left.first != right.first ? left.first > right.first : left.second->name < right.second->name;
    }
};

/// The owners that a group has accepted so far, by descending weight.
using accepted_members = std::set<weighted_member, prefers_higher>;

/// A proposing member in the deferred acceptance algorithm.
struct proposing_member {
    const fleet_member *member = nullptr;
    std::vector<std::pair<std::uint64_t, std::size_t>> preferences; ///< Weight and group index, by descending weight.
    std::size_t nextPreference = 0;
    std::size_t remainingGroups = 0; ///< Number of groups that the member is still to be assigned.
};
} // namespace

/// Divides the count evenly over the data centres. The remainder goes to those with the highest weights for the group.
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

static proposing_member makeProposer(const fleet_member *member, const std::vector<std::uint64_t> &groupHashes,
                                     std::size_t groupsPerMember)
{
    proposing_member proposer;
    proposer.member = member;
    proposer.remainingGroups = groupsPerMember;
    proposer.preferences.reserve(groupHashes.size());
    for (std::size_t group = 0; group < groupHashes.size(); ++group) {
        proposer.preferences.emplace_back(rendezvousWeight(groupHashes[group], member->hash), group);
    }
    std::sort(proposer.preferences.rbegin(), proposer.preferences.rend());
    return proposer;
}

/// Proposes the member to the next group of its preferences. Returns the member that the group rejects as a result, or
/// null if it rejects none.
static const fleet_member *propose(proposing_member &proposer, const std::vector<std::size_t> &capacities,
                                   std::vector<accepted_members> &accepted)
{
    const auto [weight, group] = proposer.preferences[proposer.nextPreference++];
    if (capacities[group] == 0) {
        return nullptr;
    }
    accepted_members &owners = accepted[group];
    owners.insert({weight, proposer.member});
    --proposer.remainingGroups;
    if (owners.size() <= capacities[group]) {
        return nullptr;
    }
    const auto worst = std::prev(owners.end());
    const fleet_member *rejected = worst->second;
    owners.erase(worst);
    return rejected;
}

/// Matches the members of one data centre with the number of owners that each group needs from it, by the deferred
/// acceptance algorithm.
static std::vector<accepted_members> matchDataCentre(const std::vector<std::uint64_t> &groupHashes,
                                                     const std::vector<const fleet_member *> &members,
                                                     const std::vector<std::size_t> &capacities)
{
    std::vector<accepted_members> accepted(groupHashes.size());
    std::size_t totalCapacity = 0;
    for (const std::size_t each : capacities) {
        totalCapacity += each;
    }
    if (members.empty() || totalCapacity == 0) {
        return accepted;
    }
    // Up to 1/16 of the positions may stay vacant: filling all of them could give some members twice the load of
    // others.
    constexpr std::size_t vacancyDivisor = 16;
    const std::size_t requiredCapacity = totalCapacity - totalCapacity / vacancyDivisor;
    const std::size_t groupsPerMember = (requiredCapacity + members.size() - 1) / members.size();
    std::map<const fleet_member *, proposing_member> proposers;
    std::vector<proposing_member *> unmatched;
    unmatched.reserve(members.size());
    for (const fleet_member *member : members) {
        unmatched.push_back(
            &proposers.emplace(member, makeProposer(member, groupHashes, groupsPerMember)).first->second);
    }
    while (!unmatched.empty()) {
        proposing_member &current = *unmatched.back();
        if (current.remainingGroups == 0 || current.nextPreference == current.preferences.size()) {
            unmatched.pop_back();
            continue;
        }
        if (const fleet_member *rejected = propose(current, capacities, accepted)) {
            proposing_member &rejectedProposer = proposers.at(rejected);
            ++rejectedProposer.remainingGroups;
            unmatched.push_back(&rejectedProposer);
        }
    }
    return accepted;
}

/// Appends the members with the highest weights over all data centres, for a group that no data centre has an owner
/// for.
static void appendHighestWeighted(std::uint64_t groupHash, const candidates_by_data_centre &candidates,
                                  std::size_t count, std::vector<const fleet_member *> &owners)
{
    accepted_members best;
    for (const auto &[dataCentre, members] : candidates) {
        for (const fleet_member *member : members) {
            best.insert({rendezvousWeight(groupHash, member->hash), member});
        }
    }
    for (const auto &[weight, member] : best) {
        if (owners.size() == count) {
            return;
        }
        owners.push_back(member);
    }
}

std::vector<group_owners> assignOwners(const std::vector<std::uint64_t> &groupHashes,
                                       const candidates_by_data_centre &candidates, std::size_t count)
{
    std::vector<group_owners> groups(groupHashes.size());
    if (candidates.empty()) {
        return groups;
    }
    for (std::size_t group = 0; group < groups.size(); ++group) {
        groups[group].quotas = divideCount(groupHashes[group], candidates, count);
    }
    for (const auto &[dataCentre, members] : candidates) {
        std::vector<std::size_t> capacities;
        capacities.reserve(groups.size());
        for (const group_owners &group : groups) {
            capacities.push_back(group.quotas.at(dataCentre));
        }
        const std::vector<accepted_members> matched = matchDataCentre(groupHashes, members, capacities);
        for (std::size_t group = 0; group < groups.size(); ++group) {
            for (const auto &[weight, member] : matched[group]) {
                groups[group].owners.push_back(member);
            }
        }
    }
    for (std::size_t group = 0; group < groups.size(); ++group) {
        if (groups[group].owners.empty()) {
            appendHighestWeighted(groupHashes[group], candidates, count, groups[group].owners);
        }
    }
    return groups;
}
} // namespace Membership
