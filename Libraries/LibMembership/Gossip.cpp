#include "LibMembership/Gossip.h"

#include "LibMembership/ActiveSet.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/Membership.h"
#include "LibMembership/MembershipSettings.h"

#include <algorithm>
#include <limits>
#include <set>
#include <unordered_map>
#include <utility>

namespace Membership
{
static constexpr std::uint8_t unknownLag = std::numeric_limits<std::uint8_t>::max();

static digest_entry makeDigestEntry(const member_record &record, const gossip_message &message)
{
    digest_entry entry;
    entry.id = recordId(record.name, record.incarnation);
    entry.heartbeat = static_cast<std::uint16_t>(record.heartbeat);
    const std::uint64_t lag = message.newestNumber - std::min(message.newestNumber, record.configurationNumber);
    const bool isComparable = record.configurationEra == message.newestEra;
    entry.lag = isComparable ? static_cast<std::uint8_t>(std::min<std::uint64_t>(lag, unknownLag)) : unknownLag;
    entry.leaving = record.leaving;
    entry.overloaded = record.overloaded;
    return entry;
}

/// Returns the configuration number that the lags in a message are relative to. It is the highest of all members, since
/// a member may be ahead of the sender.
static configuration_number newestNumber(const member_table &table)
{
    configuration_number newest = table.self.configuration();
    for (const auto &[name, member] : table.members) {
        newest = std::max(newest, member.record.configuration());
    }
    return newest;
}

/// Returns the members that are not dead, the most recently advanced first.
static std::vector<const member_state *> membersByRecency(const member_table &table,
                                                          const membership_settings &settings, Core::time_point now)
{
    std::vector<const member_state *> byRecency;
    for (const auto &[name, member] : table.members) {
        if (statusOf(table, member, settings, now) != member_status::Dead) {
            byRecency.push_back(&member);
        }
    }
    std::stable_sort(byRecency.begin(), byRecency.end(), [](const member_state *left, const member_state *right) {
        return left->heartbeatAdvancedAt > right->heartbeatAdvancedAt;
    });
    return byRecency;
}

gossip_message makeAnnouncement(const member_table &table)
{
    gossip_message message;
    message.sender = table.self.name;
    message.configurationNumber = table.self.configurationNumber;
    message.newestNumber = table.self.configurationNumber;
    message.newestEra = table.self.configurationEra;
    message.digest.push_back(makeDigestEntry(table.self, message));
    return message;
}

static gossip_message makeMessage(const member_table &table)
{
    gossip_message message;
    message.sender = table.self.name;
    message.configurationNumber = table.self.configurationNumber;
    const configuration_number newest = newestNumber(table);
    message.newestNumber = newest.number;
    message.newestEra = newest.era;
    message.digest.push_back(makeDigestEntry(table.self, message));
    return message;
}

gossip_message makeHeartbeat(member_table &table, const membership_settings &settings, const active_sets &active,
                             Core::time_point now)
{
    ++table.self.heartbeat;
    gossip_message message = makeMessage(table);
    message.isHeartbeat = true;
    for (const auto &[dataCentre, members] : active) {
        for (const member_record *member : members) {
            const auto found = table.members.find(member->name);
            const bool isHeard = found != table.members.end() && found->second.advancedDirectly
                && !isSilent(found->second, settings, now);
            if (isHeard && message.digest.size() < settings.maximumDigestEntries) {
                message.digest.push_back(makeDigestEntry(*member, message));
            }
        }
    }
    return message;
}

static void addUnsolicitedRecords(member_table &table, gossip_message &message, const membership_settings &settings)
{
    for (auto &[name, member] : table.members) {
        if (message.records.size() >= settings.maximumUnsolicitedRecords) {
            return;
        }
        if (member.remainingTransmissions > 0) {
            --member.remainingTransmissions;
            message.records.push_back(member.record);
        }
    }
}

gossip_message startRound(member_table &table, const membership_settings &settings, Core::time_point now)
{
    ++table.round;
    ++table.self.heartbeat;
    gossip_message message = makeMessage(table);
    for (const member_state *member : membersByRecency(table, settings, now)) {
        if (message.digest.size() >= settings.maximumDigestEntries) {
            break;
        }
        message.digest.push_back(makeDigestEntry(member->record, message));
    }
    if (table.round <= static_cast<std::uint64_t>(settings.recordTransmissions)) {
        message.records.push_back(table.self);
    }
    addUnsolicitedRecords(table, message, settings);
    return message;
}

static std::string drawAddress(const std::vector<std::string> &addresses, Core::random_engine &random)
{
    return addresses[std::uniform_int_distribution<std::size_t>(0, addresses.size() - 1)(random)];
}

/// Which data centres a round's message may be sent to.
enum class target_scope {
    OwnDataCentre,
    Anywhere,
};

static std::vector<std::string> livePeerAddresses(const member_table &table, const membership_settings &settings,
                                                  target_scope scope, Core::time_point now)
{
    std::vector<std::string> addresses;
    for (const member_record *member : liveMembers(table, settings, now)) {
        const bool isSameDataCentre = member->dataCentre == table.self.dataCentre;
        if (member != &table.self && (isSameDataCentre || scope == target_scope::Anywhere)) {
            addresses.push_back(member->peerAddress);
        }
    }
    return addresses;
}

std::vector<std::string> chooseHeartbeatTargets(const member_table &table, const membership_settings &settings,
                                                const active_sets &active, Core::time_point now,
                                                Core::random_engine &random)
{
    std::vector<std::string> targets = livePeerAddresses(table, settings, target_scope::OwnDataCentre, now);
    for (const auto &[dataCentre, members] : active) {
        if (dataCentre != table.self.dataCentre && !members.empty()) {
            std::uniform_int_distribution<std::size_t> distribution(0, members.size() - 1);
            targets.push_back(members[distribution(random)]->peerAddress);
        }
    }
    return targets;
}

/// Returns the addresses to probe for daemons that gossip does not report as alive: dead members, and VMs of the
/// platform's list and seeds that are not members.
static std::vector<std::string> probePeerAddresses(const member_table &table, const membership_settings &settings,
                                                   Core::time_point now)
{
    std::vector<std::string> addresses;
    for (const auto &[name, member] : table.members) {
        if (statusOf(table, member, settings, now) == member_status::Dead) {
            addresses.push_back(member.record.peerAddress);
        }
    }
    for (const auto &[name, vm] : table.listedVms) {
        if (!table.members.contains(name)) {
            addresses.push_back(vm.peerAddress);
        }
    }
    // A seed that is not a member may know a part of the fleet that this daemon has never heard of.
    for (const std::string &seed : table.seedAddresses) {
        const bool isMember = std::any_of(table.members.begin(), table.members.end(),
                                          [&](const auto &member) { return member.second.record.peerAddress == seed; });
        if (!isMember) {
            addresses.push_back(seed);
        }
    }
    return addresses;
}

std::vector<std::string> chooseTargets(const member_table &table, const membership_settings &settings,
                                       Core::time_point now, Core::random_engine &random)
{
    std::vector<std::string> targets;
    // A new daemon contacts all data centres, so that it discovers the whole fleet quickly.
    const bool isNew = table.round < static_cast<std::uint64_t>(settings.startupRounds);
    const bool allowsRemote = isNew || table.round % static_cast<std::uint64_t>(settings.roundsPerRemoteMessage) == 0;
    std::vector<std::string> live =
        livePeerAddresses(table, settings, allowsRemote ? target_scope::Anywhere : target_scope::OwnDataCentre, now);
    if (live.empty()) {
        live = livePeerAddresses(table, settings, target_scope::Anywhere, now);
    }
    if (!live.empty()) {
        targets.push_back(drawAddress(live, random));
    }
    const std::vector<std::string> probes = probePeerAddresses(table, settings, now);
    const bool probing = live.empty() || table.round % static_cast<std::uint64_t>(settings.roundsPerProbe) == 0;
    if (probing && !probes.empty()) {
        targets.push_back(drawAddress(probes, random));
    }
    return targets;
}

std::vector<std::string> chooseAnnouncementTargets(const member_table &table, const membership_settings &settings,
                                                   Core::time_point now, Core::random_engine &random)
{
    std::vector<std::string> live = livePeerAddresses(table, settings, target_scope::Anywhere, now);
    std::shuffle(live.begin(), live.end(), random);
    live.resize(std::min(live.size(), static_cast<std::size_t>(settings.announcementFanOut)));
    return live;
}

/// Extends the low 16 bits of a heartbeat to 64 bits by serial number arithmetic relative to the known heartbeat.
/// Returns `known` unless the received heartbeat is newer.
static std::uint64_t extendHeartbeat(std::uint64_t known, std::uint16_t low)
{
    const auto difference = static_cast<std::int16_t>(static_cast<std::uint16_t>(low - known));
    return difference > 0 ? known + static_cast<std::uint64_t>(difference) : known;
}

static void mergeDigestEntry(member_table &table, const digest_entry &entry, const gossip_message &message,
                             Core::time_point now)
{
    member_state &member = table.members.at(table.namesById.at(entry.id));
    const std::uint64_t heartbeat = extendHeartbeat(member.record.heartbeat, entry.heartbeat);
    if (heartbeat > member.record.heartbeat) {
        member.record.heartbeat = heartbeat;
        member.record.overloaded = entry.overloaded;
        member.heartbeatAdvancedAt = now;
        member.advancedDirectly = message.isHeartbeat;
    }
    const std::uint64_t newest = message.newestNumber;
    member.record.leaving = member.record.leaving || entry.leaving;
    if (entry.lag != unknownLag && newest >= entry.lag) {
        const configuration_number stated {message.newestEra, newest - entry.lag};
        if (stated > member.record.configuration()) {
            member.record.configurationNumber = stated.number;
            member.record.configurationEra = stated.era;
        }
    }
}

/// Merges the records and the digest of a message. Returns the identifiers for which this daemon has no record.
static std::vector<std::uint32_t> mergeMessage(member_table &table, const gossip_message &message,
                                               const membership_settings &settings, Core::time_point now)
{
    table.lastPeerMessageAt = now;
    for (const member_record &record : message.records) {
        mergeRecord(table, record, settings, now);
    }
    const std::uint32_t own = recordId(table.self.name, table.self.incarnation);
    std::vector<std::uint32_t> missingIds;
    for (const digest_entry &entry : message.digest) {
        if (table.namesById.contains(entry.id)) {
            mergeDigestEntry(table, entry, message, now);
        } else if (entry.id != own && missingIds.size() < settings.maximumRequestedRecords) {
            missingIds.push_back(entry.id);
        }
    }
    return missingIds;
}

static void addRequestedRecords(const member_table &table, const std::vector<std::uint32_t> &requestedIds,
                                gossip_message &message, const membership_settings &settings)
{
    const std::uint32_t own = recordId(table.self.name, table.self.incarnation);
    for (const std::uint32_t id : requestedIds) {
        if (message.records.size() >= settings.maximumRequestedRecords) {
            return;
        }
        const auto found = table.namesById.find(id);
        if (id == own) {
            message.records.push_back(table.self);
        } else if (found != table.namesById.end()) {
            message.records.push_back(table.members.at(found->second).record);
        }
    }
}

/// Adds the members that are missing from the peer's digest or have an older heartbeat there.
static void addNewerEntries(const member_table &table, const gossip_message &message, gossip_message &reply,
                            const membership_settings &settings, Core::time_point now)
{
    std::unordered_map<std::uint32_t, digest_entry> peerEntries;
    for (const digest_entry &entry : message.digest) {
        peerEntries.emplace(entry.id, entry);
    }
    for (const member_state *member : membersByRecency(table, settings, now)) {
        if (reply.digest.size() >= settings.maximumDigestEntries) {
            return;
        }
        const digest_entry own = makeDigestEntry(member->record, reply);
        const auto found = peerEntries.find(own.id);
        const bool isNewer = found == peerEntries.end()
            || static_cast<std::int16_t>(static_cast<std::uint16_t>(own.heartbeat - found->second.heartbeat)) > 0;
        if (isNewer) {
            reply.digest.push_back(own);
        }
    }
}

gossip_message onGossip(member_table &table, const gossip_message &message, const membership_settings &settings,
                        Core::time_point now)
{
    std::vector<std::uint32_t> missingIds = mergeMessage(table, message, settings, now);
    gossip_message reply = makeMessage(table);
    // The reply to an announcement or to a request for records carries no digest of other members.
    if (message.digest.size() > 1 || !message.records.empty()) {
        addNewerEntries(table, message, reply, settings, now);
    }
    addRequestedRecords(table, message.requestedIds, reply, settings);
    addUnsolicitedRecords(table, reply, settings);
    reply.requestedIds = std::move(missingIds);
    return reply;
}

std::optional<gossip_message> onGossipReply(member_table &table, const gossip_message &reply,
                                            const membership_settings &settings, Core::time_point now)
{
    std::vector<std::uint32_t> missingIds = mergeMessage(table, reply, settings, now);
    if (missingIds.empty() && reply.requestedIds.empty()) {
        return std::nullopt;
    }
    gossip_message further = makeAnnouncement(table);
    further.requestedIds = std::move(missingIds);
    addRequestedRecords(table, reply.requestedIds, further, settings);
    return further;
}
} // namespace Membership
