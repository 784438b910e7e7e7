#pragma once

#include "LibCore/Time.h"
#include "LibTeams/TeamAccount.h"

#include <map>
#include <string>

namespace Teams
{
/// What one daemon's life has counted, by team.
struct account_row {
    std::map<std::string, team_account> teams;
    Core::wall_time writtenAt; ///< In whole seconds.
    bool operator==(const account_row &) const = default;
};
} // namespace Teams
