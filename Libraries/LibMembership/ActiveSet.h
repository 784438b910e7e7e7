#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Configuration
{
struct configuration_document;
}

/// The members that callers are directed to. Few members serve all callers of a data centre, so that each of them has
/// enough traffic for warm connections and latency estimates, and a useful part of the limits that the fleet shares.
/// Every daemon computes the set from its membership view. A member outside of the set serves callers all the same.
namespace Membership
{
struct member_record;
struct member_state;
struct member_table;
struct membership_settings;

/// The active members of each data centre, the preferred ones first.
using active_sets = std::map<std::string, std::vector<const member_record *>>;

/// Returns the active members: those with the largest capacity, and more of them while some are overloaded. Members
/// that are leaving, silent, not live, without a configuration or in a data centre out of service are replaced by
/// others. An isolated daemon leaves itself out.
[[nodiscard]] active_sets activeMembers(const member_table &table, const membership_settings &settings,
                                        const Configuration::configuration_document &document, Core::time_point now);

/// Returns whether a member has stopped to send heartbeat messages and gossip has not reported it alive since.
[[nodiscard]] bool isSilent(const member_state &member, const membership_settings &settings, Core::time_point now);

/// Returns whether more than half of the known members of this daemon's data centre are live. At most one side of a
/// split data centre sees a majority. Members that announced that they leave are not counted.
[[nodiscard]] bool seesMajority(const member_table &table, const membership_settings &settings, Core::time_point now);
} // namespace Membership
