#pragma once

#include "LibCore/Time.h"
#include "LibMembership/ConfigurationNumber.h"
#include "LibMembership/MemberStatus.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Configuration
{
struct configuration_document;
}

/// This daemon's membership view of the fleet. Pure functions over member_table.
namespace Membership
{
struct listed_vm;
struct member_record;
struct member_state;
struct member_table;
struct membership_settings;

/// Returns the identifier of one incarnation of a VM in digests.
[[nodiscard]] std::uint32_t recordId(const std::string &name, std::uint64_t incarnation);

[[nodiscard]] member_table makeTable(member_record self, std::vector<std::string> seedAddresses, Core::time_point now);

/// Merges one record: a higher incarnation replaces, the same one is joined, a lower one changes nothing.
/// Returns whether the table changed.
bool mergeRecord(member_table &table, const member_record &record, const membership_settings &settings,
                 Core::time_point now);

/// Replaces the copy of the platform's list.
void applyList(member_table &table, const std::vector<listed_vm> &list, Core::time_point now);

/// Marks this daemon as leaving. All later messages carry the mark.
void leave(member_table &table);

/// Moves the time at which each member last advanced forward by `gap`, after this process was suspended for that long.
/// The silence of members during the suspension is no evidence of their death.
void skipSuspendedTime(member_table &table, Core::duration gap);

/// Records whether requests wait for this daemon's processor. Returns whether that is a change.
bool setOverloaded(member_table &table, bool overloaded);

/// Records the configuration number that this daemon has in force.
void setConfigurationNumber(member_table &table, configuration_number number);

/// Removes members that have been dead for `deadMemberRetention` and, beyond the maximum table size, those that have
/// been dead the longest.
void removeDeadMembers(member_table &table, const membership_settings &settings, Core::time_point now);

/// Returns the gossip period, which grows with the number of known members. The thresholds of `member_status` are
/// multiples of it.
[[nodiscard]] Core::duration gossipPeriod(const member_table &table, const membership_settings &settings);

/// Returns the time until the next round: the gossip period, or the shortest period for a new daemon.
[[nodiscard]] Core::duration roundInterval(const member_table &table, const membership_settings &settings);

[[nodiscard]] member_status statusOf(const member_table &table, const member_state &member,
                                     const membership_settings &settings, Core::time_point now);

/// Returns the members that are not dead, including this daemon, ordered by name.
[[nodiscard]] std::vector<const member_record *> liveMembers(const member_table &table,
                                                             const membership_settings &settings, Core::time_point now);

/// Returns the live members that are not leaving, in the order in which they are selected as watchers of the store:
/// by descending capacity, but one member of each region precedes all others.
[[nodiscard]] std::vector<const member_record *> watchOrder(const member_table &table,
                                                            const membership_settings &settings,
                                                            const Configuration::configuration_document &document,
                                                            Core::time_point now);

/// Returns this daemon's index in watchOrder(), 0 for the first, or its size if this daemon is not in it.
[[nodiscard]] std::size_t watchRank(const member_table &table, const membership_settings &settings,
                                    const Configuration::configuration_document &document, Core::time_point now);

/// Returns whether neither the store nor any peer has been heard from within `isolationTimeout`. A daemon without any
/// known peer is never isolated.
[[nodiscard]] bool isIsolated(const member_table &table, const membership_settings &settings, Core::time_point now);

/// Returns the interval between two reads of the platform's list. It is proportional to the fleet's size, so that the
/// read rate of the whole fleet does not grow with it.
[[nodiscard]] Core::duration listReadInterval(const member_table &table);
} // namespace Membership
