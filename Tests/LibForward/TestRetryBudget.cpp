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
TEST(RetryBudget, HoldsInEverySlidingWindowWhenEveryRequestIsRetried)
{
    const Forward::retry_limits limits {.ratio = 0.2, .slack = 5.0, .window = 10s};
    Forward::retry_budget budget;
    std::mt19937_64 random(3);
    std::vector<Core::time_point> firstAttempts;
    std::vector<Core::time_point> retries;
    Core::time_point now {};
    while (now < Core::time_point {} + 60s) {
        const bool busy = (now.time_since_epoch() / 5s) % 2 == 0;
        now += std::chrono::microseconds(std::uniform_int_distribution<>(1000, busy ? 20'000 : 400'000)(random));
        Forward::recordFirstAttempt(budget, limits, now);
        firstAttempts.push_back(now);
        if (Forward::tryTakeRetry(budget, limits, now)) {
            retries.push_back(now);
        }
    }
    const auto countIn = [&](const std::vector<Core::time_point> &times, Core::time_point from) {
        return std::count_if(times.begin(), times.end(),
                             [&](Core::time_point time) { return time >= from && time < from + limits.window; });
    };
    for (const Core::time_point from : retries) {
        // The first attempts of a window are those in it, or in a window that starts half a window or a window earlier.
        const auto counted = std::max({countIn(firstAttempts, from), countIn(firstAttempts, from - limits.window / 2),
                                       countIn(firstAttempts, from - limits.window)});
        EXPECT_LE(static_cast<double>(countIn(retries, from)),
                  limits.ratio * static_cast<double>(counted) + limits.slack);
    }
    EXPECT_GT(retries.size(), firstAttempts.size() / 10);
}

/// Nine daemons are restarted one after the other, twice within a window, while every request asks for retries. Each
/// daemon's membership view lacks those that are down. The sum over all daemons, stopped ones included, stays within
/// the bound.
TEST(RetryBudget, StaysWithinFleetSlackDuringRollingRestarts)
{
    constexpr std::size_t daemons = 9;
    constexpr double fleetSlack = 58.0;
    constexpr auto restartInterval = 500ms;
    struct daemon_run {
        Forward::retry_budget budget;
        Forward::retry_limits limits;
        Forward::fleet_size_history fleetSizes;
    };
    std::vector<daemon_run> fleet(daemons);
    std::vector<Core::time_point> firstAttempts;
    std::vector<Core::time_point> retries;
    Core::time_point restartAt {15s};
    std::size_t restarts = 0;
    for (Core::time_point now {}; now < Core::time_point {} + 40s; now += 5ms) {
        if (now >= restartAt && restarts < 2 * daemons) {
            daemon_run &restarted = fleet[restarts++ % daemons];
            restarted = {};
            restarted.limits.startedAt = now;
            restartAt = now + restartInterval;
        }
        daemon_run &daemon = fleet[static_cast<std::size_t>(now.time_since_epoch() / 5ms) % daemons];
        const bool someAreDown = restarts > 0 && restarts < 2 * daemons;
        const std::size_t visible = someAreDown ? daemons / 2 : daemons;
        daemon.limits.slack =
            Forward::slackPerDaemon(fleetSlack, Forward::maximumFleetSize(daemon.fleetSizes, visible, 20s, now));
        Forward::recordFirstAttempt(daemon.budget, daemon.limits, now);
        firstAttempts.push_back(now);
        while (Forward::tryTakeRetry(daemon.budget, daemon.limits, now)) {
            retries.push_back(now);
        }
    }
    const auto countIn = [&](const std::vector<Core::time_point> &times, Core::time_point from) {
        return std::count_if(times.begin(), times.end(),
                             [&](Core::time_point time) { return time >= from && time < from + 10s; });
    };
    for (Core::time_point from {}; from < Core::time_point {} + 30s; from += 100ms) {
        EXPECT_LE(static_cast<double>(countIn(retries, from)),
                  0.2 * static_cast<double>(countIn(firstAttempts, from)) + fleetSlack)
            << Core::toSeconds(from.time_since_epoch());
    }
    EXPECT_GT(retries.size(), firstAttempts.size() / 10);
}

TEST(FleetSizeHistory, ReturnsMaximumOfTheRetentionPeriod)
{
    Forward::fleet_size_history fleetSizes;
    const Core::time_point start {100s};
    EXPECT_EQ(Forward::maximumFleetSize(fleetSizes, 9, 20s, start), 9U);
    EXPECT_EQ(Forward::maximumFleetSize(fleetSizes, 4, 20s, start + 5s), 9U);
    EXPECT_EQ(Forward::maximumFleetSize(fleetSizes, 6, 20s, start + 10s), 9U);
    EXPECT_EQ(Forward::maximumFleetSize(fleetSizes, 5, 20s, start + 21s), 6U);
    EXPECT_EQ(Forward::maximumFleetSize(fleetSizes, 5, 20s, start + 40s), 5U);
}

TEST(RetryBudget, AllowsSlackWhenThereIsNoTraffic)
{
    const Forward::retry_limits limits {.ratio = 0.2, .slack = 2.0, .window = 10s};
    Forward::retry_budget budget;
    const Core::time_point now {100s};
    EXPECT_TRUE(Forward::tryTakeRetry(budget, limits, now));
    EXPECT_TRUE(Forward::tryTakeRetry(budget, limits, now));
    EXPECT_FALSE(Forward::tryTakeRetry(budget, limits, now + 9s));
    EXPECT_TRUE(Forward::tryTakeRetry(budget, limits, now + 12s));
}
