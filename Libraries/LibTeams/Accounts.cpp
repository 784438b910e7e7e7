#include "LibTeams/Accounts.h"

#include <algorithm>

namespace Teams
{
/// With 590 daemons that write once in five minutes, each of the 16 pages has 37 rows and receives one write per 8 s.
static constexpr std::uint64_t pageCount = 16;

std::string accountPageKey(std::uint64_t incarnation)
{
    // Incarnations are timestamps, so they are hashed to distribute them evenly over the pages.
    const std::uint64_t mixed = (incarnation * 0x9E3779B97F4A7C15ULL) >> 32U;
    return "accounts-" + std::to_string(mixed % pageCount);
}

std::vector<std::string> accountPageKeys()
{
    std::vector<std::string> keys;
    for (std::uint64_t page = 0; page < pageCount; ++page) {
        keys.push_back("accounts-" + std::to_string(page));
    }
    return keys;
}

void addAccount(team_account &sum, const team_account &part)
{
    sum.queries += part.queries;
    sum.refused += part.refused;
    sum.shardRequests += part.shardRequests;
    sum.extraShardRequests += part.extraShardRequests;
}

static void mergeMaximum(team_account &stored, const team_account &other)
{
    stored.queries = std::max(stored.queries, other.queries);
    stored.refused = std::max(stored.refused, other.refused);
    stored.shardRequests = std::max(stored.shardRequests, other.shardRequests);
    stored.extraShardRequests = std::max(stored.extraShardRequests, other.extraShardRequests);
}

void mergeRow(account_page &page, std::uint64_t incarnation, const account_row &row)
{
    account_row &stored = page.rows[incarnation];
    for (const auto &[team, account] : row.teams) {
        mergeMaximum(stored.teams[team], account);
    }
    stored.writtenAt = std::max(stored.writtenAt, row.writtenAt);
}

void archiveExpiredRows(account_page &page, Core::wall_time now)
{
    std::erase_if(page.rows, [&](const auto &entry) {
        if (now - entry.second.writtenAt < accountRowLifetime) {
            return false;
        }
        for (const auto &[team, account] : entry.second.teams) {
            addAccount(page.past[team], account);
        }
        return true;
    });
}

std::map<std::string, team_account> accountsSince(const std::map<std::string, team_account> &now,
                                                  const std::map<std::string, team_account> &earlier)
{
    std::map<std::string, team_account> difference = now;
    for (const auto &[team, account] : earlier) {
        team_account &remaining = difference[team];
        remaining.queries -= std::min(remaining.queries, account.queries);
        remaining.refused -= std::min(remaining.refused, account.refused);
        remaining.shardRequests -= std::min(remaining.shardRequests, account.shardRequests);
        remaining.extraShardRequests -= std::min(remaining.extraShardRequests, account.extraShardRequests);
    }
    return difference;
}

std::map<std::string, team_account> pageTotals(const account_page &page)
{
    std::map<std::string, team_account> totals = page.past;
    for (const auto &[incarnation, row] : page.rows) {
        for (const auto &[team, account] : row.teams) {
            addAccount(totals[team], account);
        }
    }
    return totals;
}
} // namespace Teams
