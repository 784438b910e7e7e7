#include "LibForward/Departures.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;

/// Pattern: the store is silent for seconds and every registration lapses, while the one watch that waits notices
/// neither begin nor end. Then all replicas are reported as deleted at once, and come back within 2 s.
TEST(Departures, LapsesInAnUnnoticedOutageAreNoDepartures)
{
    Forward::departures pending {.drainTime = 3s, .goneAt = {}};
    const Core::time_point now {10s};
    for (int replica = 0; replica < 60; ++replica) {
        Forward::recordMissing(pending, std::to_string(replica), {}, now);
    }
    EXPECT_TRUE(Forward::takeGone(pending, now + 2s).empty());
    for (int replica = 0; replica < 59; ++replica) {
        Forward::recordPresent(pending, std::to_string(replica));
    }
    EXPECT_EQ(Forward::takeGone(pending, now + 3s), std::vector<std::string> {"59"});
}

/// A replica that leaves without a word serves on for the drain time only, and the news takes its time both ways.
TEST(Departures, RemovedReplicaIsGoneWellBeforeItsDrainTimeEnds)
{
    const Core::time_point now {10s};
    for (const Core::duration drainTime : {Core::duration(3s), Core::duration(1s), Core::duration(500ms)}) {
        Forward::departures pending {.drainTime = drainTime, .goneAt = {}};
        const Core::time_point goneAt = Forward::recordMissing(pending, "r", {}, now);
        EXPECT_LE(goneAt, std::max(now, now + drainTime - 700ms));
        EXPECT_EQ(Forward::takeGone(pending, goneAt), std::vector<std::string> {"r"});
        EXPECT_TRUE(Forward::takeGone(pending, goneAt).empty());
    }
}

/// After an outage of the store live replicas are back within 2 s; none may be taken for gone before.
TEST(Departures, LapsedReplicaHasTimeToRegisterAgain)
{
    Forward::departures pending;
    const Core::time_point now {10s};
    Forward::recordMissing(pending, "back", 2500ms, now);
    Forward::recordMissing(pending, "lost", 2500ms, now);
    EXPECT_TRUE(Forward::takeGone(pending, now + 2s).empty());
    Forward::recordPresent(pending, "back");
    EXPECT_EQ(Forward::takeGone(pending, now + 3s), std::vector<std::string> {"lost"});
}
