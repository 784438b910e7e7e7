#include "LibForward/ActiveHistory.h"
#include "LibForward/AttemptKind.h"
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
        if (Forward::tryTakeRetry(budget, limits, Forward::attempt_kind::Retry, now)) {
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

TEST(ActiveHistory, CountsDaemonsUntilTheRetentionPeriodEnds)
{
    Forward::active_history history;
    const Core::time_point start {100s};
    EXPECT_EQ(Forward::countRecentlyActive(history, {1, 2, 3}, 20s, start), 3U);
    EXPECT_EQ(Forward::countRecentlyActive(history, {1, 2, 4}, 20s, start + 5s), 4U);
    EXPECT_EQ(Forward::countRecentlyActive(history, {1, 2, 4}, 20s, start + 21s), 3U);
}

TEST(RetryBudget, GivesBackRetryOnlyWhileItIsCounted)
{
    const Forward::retry_limits limits {.ratio = 0.2, .slack = 1.0, .window = 10s};
    Forward::retry_budget budget;
    const Core::time_point now {100s};
    ASSERT_TRUE(Forward::tryTakeRetry(budget, limits, Forward::attempt_kind::Retry, now));
    EXPECT_FALSE(Forward::tryTakeRetry(budget, limits, Forward::attempt_kind::Retry, now + 1s));
    Forward::returnRetry(budget, limits, now, now + 2s);
    EXPECT_TRUE(Forward::tryTakeRetry(budget, limits, Forward::attempt_kind::Retry, now + 2s));
    Forward::returnRetry(budget, limits, now - 30s, now + 3s);
    EXPECT_FALSE(Forward::tryTakeRetry(budget, limits, Forward::attempt_kind::Retry, now + 3s))
        << "that retry has left the window";
}

TEST(RetryBudget, AllowsSlackWhenThereIsNoTraffic)
{
    const Forward::retry_limits limits {.ratio = 0.2, .slack = 2.0, .window = 10s};
    Forward::retry_budget budget;
    const Core::time_point now {100s};
    EXPECT_TRUE(Forward::tryTakeRetry(budget, limits, Forward::attempt_kind::Retry, now));
    EXPECT_TRUE(Forward::tryTakeRetry(budget, limits, Forward::attempt_kind::Retry, now));
    EXPECT_FALSE(Forward::tryTakeRetry(budget, limits, Forward::attempt_kind::Retry, now + 9s));
    EXPECT_TRUE(Forward::tryTakeRetry(budget, limits, Forward::attempt_kind::Retry, now + 12s));
}
