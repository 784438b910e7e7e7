#pragma once

#include "LibTeams/AccountRow.h"

#include <cstdint>
#include <map>
#include <string>

namespace Teams
{
/// Content of one accounts object in the store. A page holds the rows of several daemons.
struct account_page {
    std::map<std::string, team_account> past; ///< Totals of removed daemons.
    std::map<std::uint64_t, account_row> rows; ///< By the daemon's incarnation.
    bool operator==(const account_page &) const = default;
};
} // namespace Teams
