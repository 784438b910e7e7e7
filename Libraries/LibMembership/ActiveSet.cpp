#include "LibMembership/ActiveSet.h"

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibMembership/Distance.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/Membership.h"
#include "LibMembership/MembershipSettings.h"
#include "LibMembership/RendezvousWeight.h"

#include <algorithm>
#include <tuple>

namespace Membership
{
namespace
{
/// The members of one data centre that may become active.
struct candidate_list {
    std::vector<const member_record *> members;
    bool hasHeartbeats = false; ///< Some member sends heartbeat messages.
    bool hasSilentMember = false;
};
} // namespace

bool isSilent(const member_state &member, const membership_settings &settings, Core::time_point now)
{
    return member.advancedDirectly && now - member.heartbeatAdvancedAt > settings.heartbeatTimeout;
}

static bool mayServeCallers(const member_record &record, const Configuration::configuration_document &document)
{
    // A daemon without a configuration rejects queries. If this daemon has none either, it cannot tell members apart by
    // their configuration numbers and accepts all of them.
    const bool isConfigured = record.configurationNumber > 0 || document.number == 0;
    return !record.leaving && isConfigured && !record.callerAddress.empty() && !isOut(document, record.dataCentre);
}

static std::map<std::string, candidate_list> findCandidates(const member_table &table,
                                                            const membership_settings &settings,
                                                            const Configuration::configuration_document &document,
                                                            Core::time_point now)
{
    std::map<std::string, candidate_list> candidates;
    if (mayServeCallers(table.self, document) && !isIsolated(table, settings, now)) {
        candidates[table.self.dataCentre].members.push_back(&table.self);
    }
    for (const auto &[name, member] : table.members) {
        if (!mayServeCallers(member.record, document)) {
            continue;
        }
        candidate_list &list = candidates[member.record.dataCentre];
        if (isSilent(member, settings, now)) {
            list.hasSilentMember = true;
        } else if (statusOf(table, member, settings, now) == member_status::Live) {
            list.hasHeartbeats = list.hasHeartbeats || member.advancedDirectly;
            list.members.push_back(&member.record);
        }
    }
    return candidates;
}

/// Sorts by capacity. Among equals the order differs between data centres and changes little with the members.
static void sortByPreference(std::vector<const member_record *> &members, const std::string &dataCentre)
{
    const std::uint64_t key = hashName("active/" + dataCentre);
    std::vector<std::tuple<std::uint32_t, std::uint64_t, const member_record *>> ranked;
    ranked.reserve(members.size());
    for (const member_record *member : members) {
        ranked.emplace_back(member->capacity, rendezvousWeight(key, hashName(member->name)), member);
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::transform(ranked.begin(), ranked.end(), members.begin(),
                   [](const auto &entry) { return std::get<const member_record *>(entry); });
}

static void selectActive(std::vector<const member_record *> &members, std::size_t minimum)
{
    const auto overloaded = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const member_record *member) { return member->overloaded; }));
    const bool isMinority = overloaded * 2 < minimum;
    if (isMinority && members.size() >= minimum + overloaded) {
        // A slow VM among others that keep up: they take over its callers.
        std::erase_if(members, [](const member_record *member) { return member->overloaded; });
    } else {
        // The load is too high for these members.
        minimum *= 1 + overloaded;
    }
    members.resize(std::min(members.size(), minimum));
}

active_sets activeMembers(const member_table &table, const membership_settings &settings,
                          const Configuration::configuration_document &document, Core::time_point now)
{
    active_sets active;
    for (auto &[dataCentre, list] : findCandidates(table, settings, document, now)) {
        // If every member that sent heartbeats is silent, the data centre is lost or cut off, and the other members are
        // live only because gossip notices later.
        const bool isUnreachable = list.hasSilentMember && !list.hasHeartbeats && dataCentre != table.self.dataCentre;
        if (isUnreachable) {
            continue;
        }
        sortByPreference(list.members, dataCentre);
        if (settings.minimumActiveMembers > 0) {
            selectActive(list.members, settings.minimumActiveMembers);
        }
        active[dataCentre] = std::move(list.members);
    }
    return active;
}

bool seesMajority(const member_table &table, const membership_settings &settings, Core::time_point now)
{
    std::size_t known = 1;
    std::size_t live = 1;
    for (const auto &[name, member] : table.members) {
        if (member.record.dataCentre != table.self.dataCentre || member.record.leaving) {
            continue;
        }
        ++known;
        live += statusOf(table, member, settings, now) == member_status::Live ? 1 : 0;
    }
    return live * 2 > known;
}
} // namespace Membership
