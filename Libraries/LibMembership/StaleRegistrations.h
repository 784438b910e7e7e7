#pragma once

#include "LibCore/Time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Membership
{
struct member_table;

/// Consecutive listings in which each registration belonged to no known member.
using unknown_registrations = std::map<std::string, unsigned>;

/// Returns the registrations in the platform's store whose daemons are gone. A daemon that is only silent, or that this
/// daemon has not met yet, keeps its registration: others may need it to find the fleet. Must be called once for each
/// listing.
[[nodiscard]] std::vector<std::string> findStaleRegistrations(unknown_registrations &unknown, const member_table &table,
                                                              const std::set<std::string> &listed,
                                                              Core::time_point now);
} // namespace Membership
