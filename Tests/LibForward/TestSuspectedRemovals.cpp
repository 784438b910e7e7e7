#include "LibForward/SuspectedRemovals.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;

/// The store does not respond for several seconds and every registration expires, but the pending watch detects neither
/// start nor end of the outage. All replicas are then reported as deleted at once, and register again within 2 s.
TEST(SuspectedRemovals, KeepsReplicasWhenRegistrationsExpireInUndetectedOutage)
{
    Forward::suspected_removals pending {.drainTime = 3s, .removedAt = {}};
    const Core::time_point now {10s};
    for (int replica = 0; replica < 60; ++replica) {
        Forward::recordMissing(pending, std::to_string(replica), {}, now);
    }
    EXPECT_TRUE(Forward::takeRemoved(pending, now + 2s).empty());
    for (int replica = 0; replica < 59; ++replica) {
        Forward::recordPresent(pending, std::to_string(replica));
    }
    EXPECT_EQ(Forward::takeRemoved(pending, now + 3s), std::vector<std::string> {"59"});
}

/// A replica that is removed without notice keeps serving for its drain time only, and the latency of the removal's
/// update and of the last request are part of that time.
TEST(SuspectedRemovals, RemovesReplicaBeforeItsDrainTimeEnds)
{
    const Core::time_point now {10s};
    for (const Core::duration drainTime : {Core::duration(3s), Core::duration(1s), Core::duration(500ms)}) {
        Forward::suspected_removals pending {.drainTime = drainTime, .removedAt = {}};
        const Core::time_point removedAt = Forward::recordMissing(pending, "r", {}, now);
        EXPECT_LE(removedAt, std::max(now, now + drainTime - 700ms));
        EXPECT_EQ(Forward::takeRemoved(pending, removedAt), std::vector<std::string> {"r"});
        EXPECT_TRUE(Forward::takeRemoved(pending, removedAt).empty());
    }
}

/// Guards against replicas that are used beyond their drain time by daemons that learn late that they are missing.
TEST(SuspectedRemovals, LateNewsShortenTheDoubt)
{
    Forward::suspected_removals pending {.drainTime = 3s, .removedAt = {}};
    const Core::time_point learnedAt {10s};
    EXPECT_EQ(Forward::recordMissing(pending, "r", {}, learnedAt), learnedAt + 2200ms);
    // Another daemon's news are 2 s old when they arrive, at 12 s of this clock.
    EXPECT_TRUE(Forward::takeRemoved(pending, learnedAt + 2s).empty());
    EXPECT_EQ(Forward::takeRemoved(pending, learnedAt + 2200ms), std::vector<std::string> {"r"});
}

/// After a store outage live replicas register again within 2 s. None of them may be removed before that.
TEST(SuspectedRemovals, KeepsReplicaUntilItCanRegisterAgainAfterOutage)
{
    Forward::suspected_removals pending;
    const Core::time_point now {10s};
    Forward::recordMissing(pending, "back", 2500ms, now);
    Forward::recordMissing(pending, "lost", 2500ms, now);
    EXPECT_TRUE(Forward::takeRemoved(pending, now + 2s).empty());
    Forward::recordPresent(pending, "back");
    EXPECT_EQ(Forward::takeRemoved(pending, now + 3s), std::vector<std::string> {"lost"});
}
