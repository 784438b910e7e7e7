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
/// A row that was not written for so long belongs to a daemon that is gone; it is added to the page's past. A daemon
/// that could not write for half of it takes a new incarnation's row, so that nothing counts twice.
inline constexpr std::chrono::hours accountRowLife {48};
/// A daemon writes its accounts at most so often, but for the last time when it stops.
inline constexpr std::chrono::minutes accountFlushInterval {5};

/// Returns the key of the store object that a daemon's row belongs to.
[[nodiscard]] std::string accountPageKey(std::uint64_t incarnation);
/// Returns the keys of all accounts objects.
[[nodiscard]] std::vector<std::string> accountPageKeys();

/// Adds what one team has drawn to another account.
void addAccount(team_account &sum, const team_account &part);

/// Puts a daemon's totals into a page. Totals replace earlier ones of the same incarnation by maximum, so that a
/// repeated write changes nothing.
void putRow(account_page &page, std::uint64_t incarnation, const account_row &row);
/// Moves the rows of daemons that are gone into the page's past.
void foldRows(account_page &page, Core::wall_time now);
/// Returns what was drawn since earlier totals.
[[nodiscard]] std::map<std::string, team_account> accountsSince(const std::map<std::string, team_account> &now,
                                                                const std::map<std::string, team_account> &earlier);
/// Returns the totals of a page by team.
[[nodiscard]] std::map<std::string, team_account> pageTotals(const account_page &page);

[[nodiscard]] std::string encodePage(const account_page &page);
/// Decodes a page; an empty text is an empty page. Errors: InvalidInput.
[[nodiscard]] Core::result<account_page> decodePage(std::string_view text);
/// Encodes totals by team as JSON for operators.
[[nodiscard]] std::string encodeTotals(const std::map<std::string, team_account> &totals);
} // namespace Teams
