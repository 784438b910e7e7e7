#include "LibForward/RepeatBudget.h"
#include "LibForward/RepeatEvents.h"
#include "LibForward/RepeatLimits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace std::chrono_literals;

/// Traffic that swells and ebbs while every request wants a repeat: in no window may repeats exceed the ratio of the
/// first requests plus the slack.
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
        // A window's first requests are those in it or in one that begins half a window or a window before.
        const auto counted = std::max(
            {countIn(firsts, from), countIn(firsts, from - limits.window / 2), countIn(firsts, from - limits.window)});
        EXPECT_LE(static_cast<double>(countIn(repeats, from)),
                  limits.ratio * static_cast<double>(counted) + limits.slack);
    }
    EXPECT_GT(repeats.size(), firsts.size() / 10);
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
