#include "LibForward/FleetSizeHistory.h"
#include "LibForward/RetryBudget.h"
#include "LibForward/RetryEvents.h"
#include "LibForward/RetryLimits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace std::chrono_literals;

/// The traffic alternates between high and low rates while every request asks for a retry. In no window may retries
/// exceed the ratio of the first attempts plus the slack.
TEST(RepeatBudget, HoldsInEverySlidingWindow)
{
    const Forward::repeat_limits limits {.ratio = 0.2, .slack = 5.0, .window = 10s};
    Forward::repeat_budget budget;
    std::mt19937_64 random(3);
    std::vector<Core::time_point> firsts;
    std::vector<Core::time_point> repeats;
    Core::time_point now {};
    while (now < Core::time_point {} + 60s) {
        const bool busy = (now.time_since_epoch() / 5s) % 2 == 0;
        now += std::chrono::microseconds(std::uniform_int_distribution<>(1000, busy ? 20'000 : 400'000)(random));
        Forward::recordFirst(budget, limits, now);
        firsts.push_back(now);
        if (Forward::takeRepeat(budget, limits, now)) {
            repeats.push_back(now);
        }
    }
    const auto countIn = [&](const std::vector<Core::time_point> &times, Core::time_point from) {
        return std::count_if(times.begin(), times.end(),
                             [&](Core::time_point time) { return time >= from && time < from + limits.window; });
    };
    for (const Core::time_point from : repeats) {
        // The first attempts of a window are those in it, or in a window that starts half a window or a window earlier.
        const auto counted = std::max(
            {countIn(firsts, from), countIn(firsts, from - limits.window / 2), countIn(firsts, from - limits.window)});
        EXPECT_LE(static_cast<double>(countIn(repeats, from)),
                  limits.ratio * static_cast<double>(counted) + limits.slack);
    }
    EXPECT_GT(repeats.size(), firsts.size() / 10);
}

/// Nine daemons are restarted one after the other, twice within a window, while every request asks for retries. Each
/// daemon's membership view lacks those that are down. The sum over all daemons, stopped ones included, stays within
/// the bound.
TEST(RepeatBudget, RestartsInSeriesStayWithinTheFleetsSlack)
{
    constexpr std::size_t daemons = 9;
    constexpr double fleetSlack = 58.0;
    constexpr auto serviceTime = 500ms; // Interval between two restarts.
    struct daemon_run {
        Forward::repeat_budget budget;
        Forward::repeat_limits limits;
        Forward::fleet_width width;
    };
    std::vector<daemon_run> fleet(daemons);
    std::vector<Core::time_point> firsts;
    std::vector<Core::time_point> repeats;
    Core::time_point restartAt {15s};
    std::size_t restarts = 0;
    for (Core::time_point now {}; now < Core::time_point {} + 40s; now += 5ms) {
        if (now >= restartAt && restarts < 2 * daemons) {
            daemon_run &restarted = fleet[restarts++ % daemons];
            restarted = {};
            restarted.limits.startedAt = now;
            restartAt = now + serviceTime;
        }
        daemon_run &one = fleet[static_cast<std::size_t>(now.time_since_epoch() / 5ms) % daemons];
        const bool someAreAway = restarts > 0 && restarts < 2 * daemons;
        const std::size_t seen = someAreAway ? daemons / 2 : daemons;
        one.limits.slack = Forward::partOfSlack(fleetSlack, Forward::widestFleet(one.width, seen, 20s, now));
        Forward::recordFirst(one.budget, one.limits, now);
        firsts.push_back(now);
        while (Forward::takeRepeat(one.budget, one.limits, now)) {
            repeats.push_back(now);
        }
    }
    const auto countIn = [&](const std::vector<Core::time_point> &times, Core::time_point from) {
        return std::count_if(times.begin(), times.end(),
                             [&](Core::time_point time) { return time >= from && time < from + 10s; });
    };
    for (Core::time_point from {}; from < Core::time_point {} + 30s; from += 100ms) {
        EXPECT_LE(static_cast<double>(countIn(repeats, from)),
                  0.2 * static_cast<double>(countIn(firsts, from)) + fleetSlack)
            << Core::toSeconds(from.time_since_epoch());
    }
    EXPECT_GT(repeats.size(), firsts.size() / 10);
}

TEST(FleetWidth, RemembersTheWidestForAWhile)
{
    Forward::fleet_width width;
    const Core::time_point start {100s};
    EXPECT_EQ(Forward::widestFleet(width, 9, 20s, start), 9U);
    EXPECT_EQ(Forward::widestFleet(width, 4, 20s, start + 5s), 9U);
    EXPECT_EQ(Forward::widestFleet(width, 6, 20s, start + 10s), 9U);
    EXPECT_EQ(Forward::widestFleet(width, 5, 20s, start + 21s), 6U);
    EXPECT_EQ(Forward::widestFleet(width, 5, 20s, start + 40s), 5U);
}

TEST(RepeatBudget, SlackAloneServesAServiceWithoutTraffic)
{
    const Forward::repeat_limits limits {.ratio = 0.2, .slack = 2.0, .window = 10s};
    Forward::repeat_budget budget;
    const Core::time_point now {100s};
    EXPECT_TRUE(Forward::takeRepeat(budget, limits, now));
    EXPECT_TRUE(Forward::takeRepeat(budget, limits, now));
    EXPECT_FALSE(Forward::takeRepeat(budget, limits, now + 9s));
    EXPECT_TRUE(Forward::takeRepeat(budget, limits, now + 12s));
}
