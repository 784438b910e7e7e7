#pragma once

#include "LibCore/Time.h"
#include "LibMembership/FleetMember.h"

#include <string>
#include <vector>

namespace Membership
{
struct member_table;
struct membership_settings;

/// The members that ownership is computed from. It stays equal while no member comes, goes, dies or starts to leave, so
/// that ownership is only computed again when that changes something.
struct fleet {
    std::string self;
    std::vector<fleet_member> members; ///< Ordered by name, this daemon included.
    bool operator==(const fleet &) const = default;
};

[[nodiscard]] fleet makeFleet(const member_table &table, const membership_settings &settings, Core::time_point now);
} // namespace Membership
