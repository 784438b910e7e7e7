#pragma once

#include "LibCore/Time.h"
#include "LibTeams/TeamAccount.h"

#include <map>
#include <string>

namespace Teams
{
/// The totals counted by one incarnation of a daemon, by team.
struct account_row {
    std::map<std::string, team_account> teams;
    Core::wall_time writtenAt; ///< Rounded to seconds.
    bool operator==(const account_row &) const = default;
};
} // namespace Teams
