#pragma once

#include "LibCore/Time.h"
#include "LibMembership/FleetMember.h"

#include <string>
#include <vector>

namespace Membership
{
struct member_table;
struct membership_settings;

/// The members that ownership is computed from. Two fleets compare equal unless a member has joined, been removed, died
/// or begun to leave in between, so ownership is recomputed only if its inputs have changed.
struct fleet {
    std::string self;
    std::vector<fleet_member> members; ///< Ordered by name, including this daemon.
    bool operator==(const fleet &) const = default;
};

[[nodiscard]] fleet makeFleet(const member_table &table, const membership_settings &settings, Core::time_point now);
} // namespace Membership
