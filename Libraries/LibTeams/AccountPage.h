#pragma once

#include "LibTeams/AccountRow.h"

#include <cstdint>
#include <map>
#include <string>

namespace Teams
{
/// One accounts object of the store. Several daemons share a page.
struct account_page {
    std::map<std::string, team_account> past; ///< Sums of daemons that are gone.
    std::map<std::uint64_t, account_row> rows; ///< By the daemon's incarnation.
    bool operator==(const account_page &) const = default;
};
} // namespace Teams
