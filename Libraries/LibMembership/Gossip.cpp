#include "LibMembership/Gossip.h"

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

static digest_entry entryOf(const member_record &record, std::uint64_t newestNumber)
{
    digest_entry entry;
    entry.id = recordId(record.name, record.incarnation);
    entry.heartbeat = static_cast<std::uint16_t>(record.heartbeat);
    const std::uint64_t lag = newestNumber - std::min(newestNumber, record.configurationNumber);
    entry.lag = static_cast<std::uint8_t>(std::min<std::uint64_t>(lag, unknownLag));
    entry.leaving = record.leaving;
    return entry;
}

/// Returns the configuration number that the lags in a message are relative to. It is the highest of all members, since
/// a member may be ahead of the sender.
static std::uint64_t newestNumber(const member_table &table)
{
    std::uint64_t newest = table.self.configurationNumber;
    for (const auto &[name, member] : table.members) {
        newest = std::max(newest, member.record.configurationNumber);
    }
    return newest;
}

/// Returns the members that are not dead, the most recently advanced first.
static std::vector<const member_state *> freshMembers(const member_table &table, const membership_settings &settings,
                                                      Core::time_point now)
{
    std::vector<const member_state *> fresh;
    for (const auto &[name, member] : table.members) {
        if (statusOf(table, member, settings, now) != member_status::Dead) {
            fresh.push_back(&member);
        }
    }
    std::stable_sort(fresh.begin(), fresh.end(), [](const member_state *left, const member_state *right) {
        return left->advancedAt > right->advancedAt;
    });
    return fresh;
}

gossip_message makeAnnouncement(const member_table &table)
{
    gossip_message message;
    message.sender = table.self.name;
    message.configurationNumber = table.self.configurationNumber;
    message.newestNumber = table.self.configurationNumber;
    message.digest.push_back(entryOf(table.self, message.newestNumber));
    return message;
}

static gossip_message makeMessage(const member_table &table)
{
    gossip_message message;
    message.sender = table.self.name;
    message.configurationNumber = table.self.configurationNumber;
    message.newestNumber = newestNumber(table);
    message.digest.push_back(entryOf(table.self, message.newestNumber));
    return message;
}

static void addNewRecords(member_table &table, gossip_message &message, const membership_settings &settings)
{
    for (auto &[name, member] : table.members) {
        if (message.records.size() >= settings.mostNewRecords) {
            return;
        }
        if (member.sendsLeft > 0) {
            --member.sendsLeft;
            message.records.push_back(member.record);
        }
    }
}

gossip_message startRound(member_table &table, const membership_settings &settings, Core::time_point now)
{
    ++table.round;
    ++table.self.heartbeat;
    gossip_message message = makeMessage(table);
    for (const member_state *member : freshMembers(table, settings, now)) {
        if (message.digest.size() >= settings.mostDigestEntries) {
            break;
        }
        message.digest.push_back(entryOf(member->record, message.newestNumber));
    }
    if (table.round <= static_cast<std::uint64_t>(settings.recordSends)) {
        message.records.push_back(table.self);
    }
    addNewRecords(table, message, settings);
    return message;
}

static std::string drawAddress(const std::vector<std::string> &addresses, Core::random_engine &random)
{
    return addresses[std::uniform_int_distribution<std::size_t>(0, addresses.size() - 1)(random)];
}

/// Which data centres a round's message may be sent to.
enum class reach {
    OwnDataCentre,
    Anywhere,
};

static std::vector<std::string> liveAddresses(const member_table &table, const membership_settings &settings,
                                              reach wanted, Core::time_point now)
{
    std::vector<std::string> addresses;
    for (const member_record *member : liveMembers(table, settings, now)) {
        const bool isNear = member->dataCentre == table.self.dataCentre;
        if (member != &table.self && (isNear || wanted == reach::Anywhere)) {
            addresses.push_back(member->peerAddress);
        }
    }
    return addresses;
}

/// Returns the addresses to probe for daemons that gossip does not report as alive: dead members, VMs of the platform's
/// list that are not members and, without any members, the seed addresses.
static std::vector<std::string> probeAddresses(const member_table &table, const membership_settings &settings,
                                               Core::time_point now)
{
    std::vector<std::string> addresses;
    for (const auto &[name, member] : table.members) {
        if (statusOf(table, member, settings, now) == member_status::Dead) {
            addresses.push_back(member.record.peerAddress);
        }
    }
    for (const auto &[name, vm] : table.listed) {
        if (!table.members.contains(name)) {
            addresses.push_back(vm.peerAddress);
        }
    }
    if (table.members.empty()) {
        addresses.insert(addresses.end(), table.seedAddresses.begin(), table.seedAddresses.end());
    }
    return addresses;
}

std::vector<std::string> chooseTargets(const member_table &table, const membership_settings &settings,
                                       Core::time_point now, Core::random_engine &random)
{
    std::vector<std::string> targets;
    // A new daemon contacts all data centres, so that it discovers the whole fleet quickly.
    const bool isNew = table.round < static_cast<std::uint64_t>(settings.quickRounds);
    const bool isFar = isNew || table.round % static_cast<std::uint64_t>(settings.farPart) == 0;
    std::vector<std::string> live = liveAddresses(table, settings, isFar ? reach::Anywhere : reach::OwnDataCentre, now);
    if (live.empty()) {
        live = liveAddresses(table, settings, reach::Anywhere, now);
    }
    if (!live.empty()) {
        targets.push_back(drawAddress(live, random));
    }
    const std::vector<std::string> probes = probeAddresses(table, settings, now);
    const bool probing = live.empty() || table.round % static_cast<std::uint64_t>(settings.probePart) == 0;
    if (probing && !probes.empty()) {
        targets.push_back(drawAddress(probes, random));
    }
    return targets;
}

std::vector<std::string> chooseAnnounceTargets(const member_table &table, const membership_settings &settings,
                                               Core::time_point now, Core::random_engine &random)
{
    std::vector<std::string> live = liveAddresses(table, settings, reach::Anywhere, now);
    std::shuffle(live.begin(), live.end(), random);
    live.resize(std::min(live.size(), static_cast<std::size_t>(settings.announceFanOut)));
    return live;
}

/// Extends the low 16 bits of a heartbeat to 64 bits by serial number arithmetic relative to the known heartbeat.
/// Returns `known` unless the received heartbeat is newer.
static std::uint64_t widenHeartbeat(std::uint64_t known, std::uint16_t low)
{
    const auto difference = static_cast<std::int16_t>(static_cast<std::uint16_t>(low - known));
    return difference > 0 ? known + static_cast<std::uint64_t>(difference) : known;
}

static void mergeEntry(member_table &table, const digest_entry &entry, std::uint64_t newest, Core::time_point now)
{
    member_state &member = table.members.at(table.namesById.at(entry.id));
    const std::uint64_t heartbeat = widenHeartbeat(member.record.heartbeat, entry.heartbeat);
    if (heartbeat > member.record.heartbeat) {
        member.record.heartbeat = heartbeat;
        member.advancedAt = now;
    }
    member.record.leaving = member.record.leaving || entry.leaving;
    if (entry.lag != unknownLag && newest >= entry.lag) {
        member.record.configurationNumber = std::max(member.record.configurationNumber, newest - entry.lag);
    }
}

/// Merges the records and the digest of a message. Returns the identifiers for which this daemon has no record.
static std::vector<std::uint32_t> mergeMessage(member_table &table, const gossip_message &message,
                                               const membership_settings &settings, Core::time_point now)
{
    table.peerHeardAt = now;
    for (const member_record &record : message.records) {
        mergeRecord(table, record, settings, now);
    }
    const std::uint32_t own = recordId(table.self.name, table.self.incarnation);
    std::vector<std::uint32_t> lacking;
    for (const digest_entry &entry : message.digest) {
        if (table.namesById.contains(entry.id)) {
            mergeEntry(table, entry, message.newestNumber, now);
        } else if (entry.id != own && lacking.size() < settings.mostWantedRecords) {
            lacking.push_back(entry.id);
        }
    }
    return lacking;
}

static void addWantedRecords(const member_table &table, const std::vector<std::uint32_t> &wanted,
                             gossip_message &message, const membership_settings &settings)
{
    const std::uint32_t own = recordId(table.self.name, table.self.incarnation);
    for (const std::uint32_t id : wanted) {
        if (message.records.size() >= settings.mostWantedRecords) {
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
static void addBetterEntries(const member_table &table, const gossip_message &message, gossip_message &reply,
                             const membership_settings &settings, Core::time_point now)
{
    std::unordered_map<std::uint32_t, digest_entry> theirs;
    for (const digest_entry &entry : message.digest) {
        theirs.emplace(entry.id, entry);
    }
    for (const member_state *member : freshMembers(table, settings, now)) {
        if (reply.digest.size() >= settings.mostDigestEntries) {
            return;
        }
        const digest_entry own = entryOf(member->record, reply.newestNumber);
        const auto found = theirs.find(own.id);
        const bool better = found == theirs.end()
            || static_cast<std::int16_t>(static_cast<std::uint16_t>(own.heartbeat - found->second.heartbeat)) > 0;
        if (better) {
            reply.digest.push_back(own);
        }
    }
}

gossip_message onGossip(member_table &table, const gossip_message &message, const membership_settings &settings,
                        Core::time_point now)
{
    std::vector<std::uint32_t> lacking = mergeMessage(table, message, settings, now);
    gossip_message reply = makeMessage(table);
    // The reply to an announcement or to a request for records carries no digest of other members.
    if (message.digest.size() > 1 || !message.records.empty()) {
        addBetterEntries(table, message, reply, settings, now);
    }
    addWantedRecords(table, message.wanted, reply, settings);
    addNewRecords(table, reply, settings);
    reply.wanted = std::move(lacking);
    return reply;
}

std::optional<gossip_message> onGossipReply(member_table &table, const gossip_message &reply,
                                            const membership_settings &settings, Core::time_point now)
{
    std::vector<std::uint32_t> lacking = mergeMessage(table, reply, settings, now);
    if (lacking.empty() && reply.wanted.empty()) {
        return std::nullopt;
    }
    gossip_message further = makeAnnouncement(table);
    further.wanted = std::move(lacking);
    addWantedRecords(table, reply.wanted, further, settings);
    return further;
}
} // namespace Membership
