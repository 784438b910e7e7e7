#include "LibMembership/Membership.h"

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibConfiguration/WatchCandidate.h"
#include "LibConfiguration/WatchPlan.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/MembershipSettings.h"
#include "LibMembership/RendezvousWeight.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Membership
{
std::uint32_t recordId(const std::string &name, std::uint64_t incarnation)
{
    return static_cast<std::uint32_t>(rendezvousWeight(incarnation, hashName(name)));
}

member_table makeTable(member_record self, std::vector<std::string> seedAddresses, Core::time_point now)
{
    member_table table;
    table.self = std::move(self);
    table.seedAddresses = std::move(seedAddresses);
    table.lastPeerMessageAt = now;
    table.lastStoreResponseAt = now;
    return table;
}

static bool joinRecord(member_state &member, const member_record &record, Core::time_point now)
{
    bool changed = false;
    if (record.heartbeat > member.record.heartbeat) {
        member.record.heartbeat = record.heartbeat;
        member.record.overloaded = record.overloaded;
        member.heartbeatAdvancedAt = now;
        member.advancedDirectly = false;
        changed = true;
    } else if (record.heartbeat == member.record.heartbeat && record.overloaded && !member.record.overloaded) {
        member.record.overloaded = true;
        changed = true;
    }
    if (record.configuration() > member.record.configuration()) {
        member.record.configurationNumber = record.configurationNumber;
        member.record.configurationEra = record.configurationEra;
        changed = true;
    }
    if (record.leaving && !member.record.leaving) {
        member.record.leaving = true;
        changed = true;
    }
    return changed;
}

bool mergeRecord(member_table &table, const member_record &record, const membership_settings &settings,
                 Core::time_point now)
{
    if (record.name.empty()) {
        return false;
    }
    if (record.name == table.self.name) {
        table.superseded = table.superseded || record.incarnation > table.self.incarnation;
        return false;
    }
    const auto found = table.members.find(record.name);
    if (found != table.members.end() && record.incarnation < found->second.record.incarnation) {
        return false;
    }
    if (found != table.members.end() && record.incarnation == found->second.record.incarnation) {
        return joinRecord(found->second, record, now);
    }
    if (found != table.members.end()) {
        table.namesById.erase(recordId(record.name, found->second.record.incarnation));
    }
    // To a new daemon each record is new, but the other members already have it: it is not relayed.
    const bool isNew = table.round < static_cast<std::uint64_t>(settings.startupRounds);
    table.members[record.name] = {record, now, false, isNew ? 0 : settings.recordTransmissions};
    table.namesById[recordId(record.name, record.incarnation)] = record.name;
    return true;
}

void applyList(member_table &table, const std::vector<listed_vm> &list, Core::time_point now)
{
    table.lastStoreResponseAt = now;
    table.listedVms.clear();
    for (const listed_vm &vm : list) {
        if (vm.name != table.self.name) {
            table.listedVms[vm.name] = vm;
        }
    }
}

void leave(member_table &table)
{
    table.self.leaving = true;
    ++table.self.heartbeat;
}

void skipSuspendedTime(member_table &table, Core::duration gap)
{
    for (auto &[name, member] : table.members) {
        member.heartbeatAdvancedAt += gap;
    }
}

void setConfigurationNumber(member_table &table, configuration_number number)
{
    if (number > table.self.configuration()) {
        table.self.configurationNumber = number.number;
        table.self.configurationEra = number.era;
        ++table.self.heartbeat;
    }
}

bool setOverloaded(member_table &table, bool overloaded)
{
    const bool changed = table.self.overloaded != overloaded;
    if (changed) {
        table.self.overloaded = overloaded;
        ++table.self.heartbeat;
    }
    return changed;
}

static void eraseMember(member_table &table, const std::string &name)
{
    const auto found = table.members.find(name);
    table.namesById.erase(recordId(name, found->second.record.incarnation));
    table.members.erase(found);
}

void removeDeadMembers(member_table &table, const membership_settings &settings, Core::time_point now)
{
    std::vector<std::pair<Core::time_point, std::string>> dead;
    for (const auto &[name, member] : table.members) {
        if (statusOf(table, member, settings, now) == member_status::Dead) {
            dead.emplace_back(member.heartbeatAdvancedAt, name);
        }
    }
    std::sort(dead.begin(), dead.end());
    for (const auto &[heartbeatAdvancedAt, name] : dead) {
        const bool isOversized = table.members.size() > settings.maximumMembers;
        if (!isOversized && now - heartbeatAdvancedAt < settings.deadMemberRetention) {
            return;
        }
        eraseMember(table, name);
    }
}

Core::duration gossipPeriod(const member_table &table, const membership_settings &settings)
{
    const Core::duration wanted = settings.periodPerMember * static_cast<std::int64_t>(table.members.size() + 1);
    return std::clamp<Core::duration>(wanted, settings.minimumPeriod, settings.maximumPeriod);
}

Core::duration roundInterval(const member_table &table, const membership_settings &settings)
{
    const bool isNew = table.round < static_cast<std::uint64_t>(settings.startupRounds);
    return isNew ? settings.minimumPeriod : gossipPeriod(table, settings);
}

member_status statusOf(const member_table &table, const member_state &member, const membership_settings &settings,
                       Core::time_point now)
{
    const Core::duration period = gossipPeriod(table, settings);
    const Core::duration timeSinceHeartbeat = now - member.heartbeatAdvancedAt;
    if (timeSinceHeartbeat > period * settings.deadPeriods) {
        return member_status::Dead;
    }
    return timeSinceHeartbeat > period * settings.suspectPeriods ? member_status::Suspected : member_status::Live;
}

std::vector<const member_record *> liveMembers(const member_table &table, const membership_settings &settings,
                                               Core::time_point now)
{
    std::vector<const member_record *> live;
    live.reserve(table.members.size() + 1);
    bool selfAdded = false;
    for (const auto &[name, member] : table.members) {
        if (!selfAdded && table.self.name < name) {
            live.push_back(&table.self);
            selfAdded = true;
        }
        if (statusOf(table, member, settings, now) != member_status::Dead) {
            live.push_back(&member.record);
        }
    }
    if (!selfAdded) {
        live.push_back(&table.self);
    }
    return live;
}

static std::string regionOf(const Configuration::configuration_document &document, const std::string &dataCentre)
{
    const auto found = document.dataCentres.find(dataCentre);
    return found == document.dataCentres.end() ? dataCentre : found->second.region;
}

std::vector<const member_record *> watchOrder(const member_table &table, const membership_settings &settings,
                                              const Configuration::configuration_document &document,
                                              Core::time_point now)
{
    const std::uint64_t key = hashName("configuration watch");
    using rank = std::pair<std::uint32_t, std::uint64_t>; // The capacity decides first.
    std::vector<std::pair<rank, Configuration::watch_candidate>> weighted;
    std::map<std::string, const member_record *> byName;
    for (const member_record *member : liveMembers(table, settings, now)) {
        if (!member->leaving) {
            byName[member->name] = member;
            weighted.emplace_back(
                rank(member->capacity, rendezvousWeight(key, hashName(member->name))),
                Configuration::watch_candidate {member->name, regionOf(document, member->dataCentre)});
        }
    }
    std::sort(weighted.begin(), weighted.end(),
              [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<Configuration::watch_candidate> ranked;
    ranked.reserve(weighted.size());
    for (auto &[weight, candidate] : weighted) {
        ranked.push_back(std::move(candidate));
    }
    std::vector<const member_record *> order;
    for (const Configuration::watch_candidate &candidate : Configuration::watchOrder(ranked)) {
        order.push_back(byName.at(candidate.virtualMachine));
    }
    return order;
}

std::size_t watchRank(const member_table &table, const membership_settings &settings,
                      const Configuration::configuration_document &document, Core::time_point now)
{
    const auto order = watchOrder(table, settings, document, now);
    return static_cast<std::size_t>(std::find(order.begin(), order.end(), &table.self) - order.begin());
}

bool isIsolated(const member_table &table, const membership_settings &settings, Core::time_point now)
{
    // A fleet of one has no peer to hear from.
    if (table.members.empty() && table.listedVms.empty() && table.seedAddresses.empty()) {
        return false;
    }
    return now - std::max(table.lastPeerMessageAt, table.lastStoreResponseAt) > settings.isolationTimeout;
}

Core::duration listReadInterval(const member_table &table)
{
    constexpr std::chrono::milliseconds intervalPerMember {500};
    constexpr std::chrono::milliseconds minimumInterval {3000};
    const Core::duration wanted = intervalPerMember * static_cast<std::int64_t>(table.members.size() + 1);
    return std::max<Core::duration>(wanted, minimumInterval);
}
} // namespace Membership
