#include "LibTeams/Accounts.h"

#include <gtest/gtest.h>

using std::chrono::hours;

static Teams::account_row rowAt(std::uint64_t queries, Core::wall_time at)
{
    Teams::account_row row;
    row.teams["a"] = {queries, 1, queries * 8, 2};
    row.writtenAt = at;
    return row;
}

TEST(Accounts, DuplicateOrOutdatedWriteLeavesTotalsUnchanged)
{
    const Core::wall_time now {hours(500000)};
    Teams::account_page page;
    Teams::mergeRow(page, 1, rowAt(10, now));
    Teams::mergeRow(page, 1, rowAt(10, now));
    Teams::mergeRow(page, 1, rowAt(7, now - hours(1)));
    Teams::mergeRow(page, 2, rowAt(5, now));
    EXPECT_EQ(Teams::pageTotals(page).at("a").queries, 15U);
    EXPECT_EQ(Teams::pageTotals(page).at("a").shardRequests, 120U);
}

TEST(Accounts, ArchivingRowsOfRemovedDaemonsKeepsTotals)
{
    const Core::wall_time now {hours(500000)};
    Teams::account_page page;
    Teams::mergeRow(page, 1, rowAt(10, now - Teams::accountRowLifetime));
    Teams::mergeRow(page, 2, rowAt(5, now));
    Teams::archiveExpiredRows(page, now);
    EXPECT_EQ(page.rows.size(), 1U);
    EXPECT_EQ(Teams::pageTotals(page).at("a").queries, 15U);
    EXPECT_EQ(Teams::decodePage(Teams::encodePage(page)).value(), page);
    EXPECT_FALSE(Teams::decodePage("{\"past\":{},\"rows\":{\"x\":{}}}"));
}

TEST(Accounts, RowArchivedTooEarlyIsNotCountedTwice)
{
    const Core::wall_time now {hours(500000)};
    Teams::account_page page;
    const Teams::account_row written = rowAt(10, now - Teams::accountRowLifetime);
    Teams::mergeRow(page, 1, written);
    Teams::archiveExpiredRows(page, now);
    ASSERT_TRUE(page.rows.empty());
    // The daemon was not removed but could not write. It continues from the totals that it had written.
    const Teams::account_row later = rowAt(12, now);
    Teams::mergeRow(page, 1, {Teams::accountsSince(later.teams, written.teams), now});
    EXPECT_EQ(Teams::pageTotals(page).at("a").queries, 12U);
    EXPECT_EQ(Teams::pageTotals(page).at("a").shardRequests, 96U);
    EXPECT_EQ(Teams::accountsSince(written.teams, later.teams).at("a").queries, 0U)
        << "a difference of counts must not be negative";
}
