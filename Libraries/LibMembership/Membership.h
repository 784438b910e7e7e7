#pragma once

#include "LibCore/Time.h"
#include "LibMembership/MemberStatus.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Configuration
{
struct configuration_document;
}

/// Who is in the fleet, by this daemon's own knowledge. Pure functions over member_table.
namespace Membership
{
struct listed_vm;
struct member_record;
struct member_state;
struct member_table;
struct membership_settings;

/// Names one incarnation of a VM in digests.
[[nodiscard]] std::uint32_t recordId(const std::string &name, std::uint64_t incarnation);

[[nodiscard]] member_table makeTable(member_record self, std::vector<std::string> seedAddresses, Core::time_point now);

/// Merges one record: a higher incarnation replaces, the same one is joined, a lower one changes nothing.
/// Returns whether the table changed.
bool mergeRecord(member_table &table, const member_record &record, const membership_settings &settings,
                 Core::time_point now);

/// Takes a new copy of the platform's list.
void applyList(member_table &table, const std::vector<listed_vm> &list, Core::time_point now);

/// Marks this daemon as leaving; it says so in every later message.
void leave(member_table &table);

/// Moves every time in the table forward by `gap`, after this process did not run for that long: it knows nothing about
/// that time, so nobody died in it.
void skipTime(member_table &table, Core::duration gap);

/// Records the configuration number that this daemon has in force.
void setConfigurationNumber(member_table &table, std::uint64_t number);

/// Drops members that were dead for long and, beyond the bound, those that were dead the longest.
void forgetMembers(member_table &table, const membership_settings &settings, Core::time_point now);

/// The period of gossip, from the number of members known. Suspicion and death count it.
[[nodiscard]] Core::duration gossipPeriod(const member_table &table, const membership_settings &settings);

/// The time until the next round: the period, or less for a new daemon.
[[nodiscard]] Core::duration roundInterval(const member_table &table, const membership_settings &settings);

[[nodiscard]] member_status statusOf(const member_table &table, const member_state &member,
                                     const membership_settings &settings, Core::time_point now);

/// The members that are not dead, this daemon included, ordered by name.
[[nodiscard]] std::vector<const member_record *> liveMembers(const member_table &table,
                                                             const membership_settings &settings, Core::time_point now);

/// The live members that may watch the store, in the order in which they are asked to; each region has one in front.
[[nodiscard]] std::vector<const member_record *> watchOrder(const member_table &table,
                                                            const membership_settings &settings,
                                                            const Configuration::configuration_document &document,
                                                            Core::time_point now);

/// This daemon's place among the live members that may watch the store, 0 the first; each region has one in front.
[[nodiscard]] std::size_t watchRank(const member_table &table, const membership_settings &settings,
                                    const Configuration::configuration_document &document, Core::time_point now);

/// Whether neither the store nor any peer was heard for long.
[[nodiscard]] bool isIsolated(const member_table &table, const membership_settings &settings, Core::time_point now);

/// How long to wait between two reads of the platform's list: longer in larger fleets, so that the reads of the whole
/// fleet do not grow with it.
[[nodiscard]] Core::duration listReadInterval(const member_table &table);
} // namespace Membership
