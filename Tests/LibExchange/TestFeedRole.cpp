#include "LibExchange/DecideFeed.h"
#include "LibExchange/FeedRole.h"
#include "LibExchange/FeedView.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Exchange::decideFeed;
using Exchange::feed_role;
using Exchange::feed_view;

namespace
{
feed_view follower()
{
    feed_view view;
    view.hasSources = true;
    view.known = 10;
    view.newest = 10;
    return view;
}

constexpr Core::time_point start {1000s};
} // namespace

TEST(FeedRole, WatchersAskTheStoreAndOthersFollow)
{
    feed_role role;
    feed_view view = follower();
    EXPECT_FALSE(decideFeed(role, view, start).direct);
    view.watchesStore = true;
    EXPECT_TRUE(decideFeed(role, view, start).direct);
}

TEST(FeedRole, DaemonWithoutSourcesAsksTheStore)
{
    feed_role role;
    feed_view view = follower();
    view.hasSources = false;
    EXPECT_TRUE(decideFeed(role, view, start).direct);
}

/// The store refuses one watcher while it serves the rest. The followers of that watcher detect the lag by the numbers
/// that other daemons announce.
TEST(FeedRole, LaggingFollowerChangesItsSourceAndThenAsksTheStore)
{
    feed_role role;
    feed_view view = follower();
    view.sourceSince = start;
    view.newest = 12;
    bool switched = false;
    Core::time_point now = start;
    for (; now < start + 4s; now += 100ms) {
        const auto decision = decideFeed(role, view, now);
        if (decision.switchSource && !switched) {
            switched = true;
            view.sourceSince = now;
            EXPECT_FALSE(decision.direct);
        }
        if (decision.direct) {
            break;
        }
    }
    EXPECT_TRUE(switched);
    // A change must be in force within 3 s; propagating the announcement and listing the store take the rest.
    EXPECT_LT(now, start + 1500ms);
}

/// While objects change steadily, some update is always in flight, which must not count as lag.
TEST(FeedRole, SteadyChangeIsNoLag)
{
    feed_role role;
    feed_view view = follower();
    view.sourceSince = start;
    for (Core::time_point now = start; now < start + 10s; now += 300ms) {
        view.newest += 5;
        const auto decision = decideFeed(role, view, now);
        EXPECT_FALSE(decision.direct || decision.switchSource);
        view.known = view.newest - 1;
    }
}

TEST(FeedRole, WatcherThatLostTheStoreFollowsAnother)
{
    feed_role role;
    feed_view view = follower();
    view.watchesStore = true;
    view.isDirect = true;
    view.storeLostFor = 2s;
    EXPECT_FALSE(decideFeed(role, view, start).direct);
    view.isDirect = false;
    view.storeLostFor = {};
    EXPECT_FALSE(decideFeed(role, view, start + 1s).direct);
    EXPECT_TRUE(decideFeed(role, view, start + 10s).direct);
}

/// A daemon is cut off from all others but not from the store.
TEST(FeedRole, DaemonThatHearsNobodyAsksTheStore)
{
    feed_role role;
    feed_view view = follower();
    view.hearsPeers = false;
    EXPECT_TRUE(decideFeed(role, view, start).direct);
}

/// The watches receive no updates although objects change; the peers' announcements show that some were missed.
TEST(FeedRole, WatcherThatLagsReadsEverythingAnew)
{
    feed_role role;
    feed_view view = follower();
    view.watchesStore = true;
    view.isDirect = true;
    view.newest = 11;
    EXPECT_FALSE(decideFeed(role, view, start).refresh);
    EXPECT_TRUE(decideFeed(role, view, start + 1s).refresh);
    EXPECT_FALSE(decideFeed(role, view, start + 1100ms).refresh);
}
