#pragma once

#include "LibCore/Result.h"
#include "LibCore/Time.h"
#include "LibTeams/AccountPage.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Teams
{
/// A row that was not written for this time belongs to a removed daemon, and its totals are added to the page's `past`.
/// A daemon that could not write for half this time continues in the row of a new incarnation, so that no query is
/// counted twice.
inline constexpr std::chrono::hours accountRowLifetime {48};
/// Minimum interval between the writes of a daemon, except for the last write when it stops.
inline constexpr std::chrono::minutes accountFlushInterval {5};

/// Returns the key of the store object that holds a daemon's row.
[[nodiscard]] std::string accountPageKey(std::uint64_t incarnation);
/// Returns the keys of all accounts objects.
[[nodiscard]] std::vector<std::string> accountPageKeys();

/// Adds the counts of `part` to `sum`.
void addAccount(team_account &sum, const team_account &part);

/// Merges a daemon's totals into its row of a page by taking the maximum of each count, so that the operation is
/// idempotent.
void mergeRow(account_page &page, std::uint64_t incarnation, const account_row &row);
/// Adds the rows of removed daemons to the page's `past` and deletes the rows.
void archiveExpiredRows(account_page &page, Core::wall_time now);
/// Returns the difference between two sets of totals; no count is less than 0.
[[nodiscard]] std::map<std::string, team_account> accountsSince(const std::map<std::string, team_account> &now,
                                                                const std::map<std::string, team_account> &earlier);
/// Returns the totals of a page over all daemons, by team.
[[nodiscard]] std::map<std::string, team_account> pageTotals(const account_page &page);

[[nodiscard]] std::string encodePage(const account_page &page);
/// Decodes a page; an empty text yields an empty page. Errors: InvalidInput.
[[nodiscard]] Core::result<account_page> decodePage(std::string_view text);
/// Encodes totals by team as JSON for operators.
[[nodiscard]] std::string encodeTotals(const std::map<std::string, team_account> &totals);
} // namespace Teams
