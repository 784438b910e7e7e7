#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"
#include "LibMembership/Entry.h"

#include <string>
#include <vector>

namespace Configuration
{
struct configuration_document;
}

namespace Membership
{
struct member_table;
struct membership_settings;

/// Selects the entries for a caller in `dataCentre` from the active members, ordered by ascending distance. From many
/// active members it selects a random subset, so that callers are distributed over all of them. An isolated or leaving
/// daemon lists only other members. The result may be empty.
[[nodiscard]] std::vector<entry> chooseEntries(const member_table &table, const membership_settings &settings,
                                               const Configuration::configuration_document &document,
                                               const std::string &dataCentre, Core::time_point now,
                                               Core::random_engine &random);
} // namespace Membership
