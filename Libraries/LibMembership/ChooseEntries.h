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

/// Chooses the addresses for a caller in `dataCentre`: live, not leaving, configured, not in a data centre that is out,
/// near ones first. Of a large fleet it draws some, so that callers spread over all. A daemon that is isolated or
/// leaving names the others only; the list may be empty.
[[nodiscard]] std::vector<entry> chooseEntries(const member_table &table, const membership_settings &settings,
                                               const Configuration::configuration_document &document,
                                               const std::string &dataCentre, Core::time_point now,
                                               Core::random_engine &random);
} // namespace Membership
