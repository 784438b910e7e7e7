#include "LibExchange/MissedChanges.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Exchange::missed_changes;
using Exchange::shouldListAgain;

namespace
{
constexpr Core::time_point start {1000s};
constexpr Core::duration probeInterval = 500ms;

/// Probes until everything is listed again; returns how long that took, or the time of the last probe.
Core::duration timeUntilListed(missed_changes &state, std::uint64_t storeRevision, std::uint64_t watchedRevision)
{
    Core::duration elapsed {};
    while (elapsed < 60s && !shouldListAgain(state, {0, storeRevision}, {0, watchedRevision}, start + elapsed)) {
        elapsed += probeInterval;
    }
    return elapsed;
}
} // namespace

/// A watch was lost in the last moment of a silent outage, and would have waited for 25 s. A change must be in force
/// within 3 s.
TEST(MissedChanges, ChangeThatNoWatchReportsIsFoundSoon)
{
    missed_changes state;
    EXPECT_FALSE(shouldListAgain(state, {0, 100}, {0, 100}, start - 10s));
    EXPECT_LE(timeUntilListed(state, 101, 100), 1s);
}

/// Load: objects change all the time, and each report comes a little late.
TEST(MissedChanges, SteadyChangesThatAreReportedLateDoNotListAgain)
{
    missed_changes state;
    for (std::uint64_t probe = 0; probe < 1000; ++probe) {
        EXPECT_FALSE(shouldListAgain(state, {0, 100 + 7 * probe}, {0, 93 + 7 * probe}, start + probe * probeInterval));
    }
}

/// Load: a kind that is not watched changes all the time. Lists are costly for the store.
TEST(MissedChanges, ChangesOfOtherKindsListAgainSeldom)
{
    missed_changes state;
    int lists = 0;
    std::uint64_t watched = 100;
    for (std::uint64_t probe = 0; probe < 120; ++probe) {
        if (shouldListAgain(state, {0, 101 + probe}, {0, watched}, start + probe * probeInterval)) {
            ++lists;
            watched = 101 + probe;
        }
    }
    EXPECT_LE(lists, 12);
}

TEST(MissedChanges, OlderRevisionOfAStaleReadIsNoChange)
{
    missed_changes state;
    EXPECT_EQ(timeUntilListed(state, 90, 100), 60s);
}
