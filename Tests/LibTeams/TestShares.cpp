#include "Policy/UsageFleet.h"

#include <gtest/gtest.h>

using Bench::spreadDemand;
using std::chrono::seconds;

TEST(TeamShares, HoldWhenDemandMovesBetweenDaemons)
{
    constexpr std::size_t daemons = 9;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Bench::usage_fleet fleet(daemons, seed);
        const auto everywhere = spreadDemand(daemons, 0, daemons, 90000);
        fleet.run(seconds(6), {{"a", everywhere}, {"b", everywhere}});
        for (std::size_t place = 0; place < daemons; place += 3) {
            const auto admitted =
                fleet.run(seconds(10),
                          {{"a", spreadDemand(daemons, place, 3, 90000)}, {"b", spreadDemand(daemons, 0, 4, 120000)}});
            EXPECT_NEAR(admitted.at("a") / 54000.0, 1.0, 0.05) << "seed " << seed << " place " << place;
            EXPECT_NEAR(admitted.at("b") / 36000.0, 1.0, 0.05) << "seed " << seed << " place " << place;
        }
    }
}

TEST(TeamShares, UnusedCapacityIsLentAndReclaimedWithinTwoSeconds)
{
    constexpr std::size_t daemons = 9;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Bench::usage_fleet fleet(daemons, seed);
        const auto borrower = spreadDemand(daemons, 0, daemons, 120000);
        const auto idle = spreadDemand(daemons, 0, daemons, 9000);
        fleet.run(seconds(6), {{"a", idle}, {"b", borrower}});
        const auto lent = fleet.run(seconds(10), {{"a", idle}, {"b", borrower}});
        EXPECT_NEAR(lent.at("b") / 81000.0, 1.0, 0.05) << "seed " << seed;
        const auto returning = spreadDemand(daemons, 1, 5, 60000);
        fleet.run(seconds(2), {{"a", returning}, {"b", borrower}});
        const auto after = fleet.run(seconds(10), {{"a", returning}, {"b", borrower}});
        EXPECT_GE(after.at("a") / 54000.0, 0.95) << "seed " << seed;
        EXPECT_LE(after.at("b") / 36000.0, 1.05) << "seed " << seed;
    }
}
