#include "LibForward/Departures.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;

TEST(Departures, RemovedReplicaIsGoneAtOnce)
{
    Forward::departures pending;
    const Core::time_point now {10s};
    Forward::recordMissing(pending, "r", {}, now);
    EXPECT_EQ(Forward::takeGone(pending, now), std::vector<std::string> {"r"});
    EXPECT_TRUE(Forward::takeGone(pending, now).empty());
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
