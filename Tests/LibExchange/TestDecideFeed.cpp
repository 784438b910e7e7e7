#include "LibExchange/DecideFeed.h"
#include "LibExchange/FeedDecisionState.h"
#include "LibExchange/FeedView.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Exchange::decideFeed;
using Exchange::feed_decision_state;
using Exchange::feed_view;

namespace
{
feed_view followerView()
{
    feed_view view;
    view.hasSources = true;
    view.ownProgress.revisions = 10;
    view.announcedProgress.revisions = 10;
    return view;
}

constexpr Core::time_point start {1000s};
} // namespace

TEST(DecideFeed, FollowsUnlessAssignedToWatchStore)
{
    feed_decision_state state;
    feed_view view = followerView();
    EXPECT_FALSE(decideFeed(state, view, start).watchStore);
    view.watchesStore = true;
    EXPECT_TRUE(decideFeed(state, view, start).watchStore);
}

TEST(DecideFeed, WatchesStoreWhenThereAreNoSources)
{
    feed_decision_state state;
    feed_view view = followerView();
    view.hasSources = false;
    EXPECT_TRUE(decideFeed(state, view, start).watchStore);
}

/// The store refuses one watcher while it serves the rest. The followers of that watcher detect the lag by the numbers
/// that other daemons announce.
TEST(DecideFeed, LaggingFollowerSwitchesSourceThenWatchesStore)
{
    feed_decision_state state;
    feed_view view = followerView();
    view.sourceSince = start;
    view.announcedProgress.revisions = 12;
    bool switched = false;
    Core::time_point now = start;
    for (; now < start + 4s; now += 100ms) {
        const auto decision = decideFeed(state, view, now);
        if (decision.switchSource && !switched) {
            switched = true;
            view.sourceSince = now;
            EXPECT_FALSE(decision.watchStore);
        }
        if (decision.watchStore) {
            break;
        }
    }
    EXPECT_TRUE(switched);
    // A change must be in force within 3 s; propagating the announcement and listing the store take the rest.
    EXPECT_LT(now, start + 1500ms);
}

/// While objects change steadily, some update is always in flight, which must not count as lag.
TEST(DecideFeed, SteadyChangesDoNotCountAsLag)
{
    feed_decision_state state;
    feed_view view = followerView();
    view.sourceSince = start;
    for (Core::time_point now = start; now < start + 10s; now += 300ms) {
        view.announcedProgress.revisions += 5;
        const auto decision = decideFeed(state, view, now);
        EXPECT_FALSE(decision.watchStore || decision.switchSource);
        view.ownProgress.revisions = view.announcedProgress.revisions - 1;
    }
}

/// Guards against a daemon that awaits for good what only a daemon that is gone has announced, and reads the store
/// again and again for it.
TEST(DecideFeed, WhatADaemonThatIsGoneHasAnnouncedIsNotAwaited)
{
    feed_decision_state state;
    feed_view view = followerView();
    view.sourceSince = start - 10s;
    view.announcedProgress.revisions = 12;
    (void)decideFeed(state, view, start);
    view.announcedProgress.revisions = 10;
    for (Core::time_point now = start + 300ms; now < start + 10s; now += 300ms) {
        const auto decision = decideFeed(state, view, now);
        EXPECT_FALSE(decision.watchStore || decision.switchSource);
    }
}

TEST(DecideFeed, WatcherFollowsPeerWhenStoreIsUnreachable)
{
    feed_decision_state state;
    feed_view view = followerView();
    view.watchesStore = true;
    view.isWatchingStore = true;
    view.storeUnreachableFor = 2s;
    EXPECT_FALSE(decideFeed(state, view, start).watchStore);
    view.isWatchingStore = false;
    view.storeUnreachableFor = {};
    EXPECT_FALSE(decideFeed(state, view, start + 1s).watchStore);
    EXPECT_TRUE(decideFeed(state, view, start + 10s).watchStore);
}

/// A daemon is cut off from all others but not from the store.
TEST(DecideFeed, WatchesStoreWhenNoPeerIsReachable)
{
    feed_decision_state state;
    feed_view view = followerView();
    view.hasPeerContact = false;
    EXPECT_TRUE(decideFeed(state, view, start).watchStore);
}

/// The watches receive no updates although objects change; the peers' announcements show that some were missed.
TEST(DecideFeed, LaggingWatcherRefreshes)
{
    feed_decision_state state;
    feed_view view = followerView();
    view.watchesStore = true;
    view.isWatchingStore = true;
    view.announcedProgress.revisions = 11;
    EXPECT_FALSE(decideFeed(state, view, start).refresh);
    EXPECT_TRUE(decideFeed(state, view, start + 1s).refresh);
    EXPECT_FALSE(decideFeed(state, view, start + 1100ms).refresh);
}

/// Load: the newest entry is removed, and a daemon starts. The others' progress counts that entry, which the store does
/// not have any more. The new daemon listed everything every 2 s until the next change.
TEST(DecideFeed, ListsOnceForAnEntryThatTheStoreDoesNotHaveAnyMore)
{
    feed_decision_state state;
    feed_view view = followerView();
    view.watchesStore = true;
    view.isWatchingStore = true;
    view.announcedProgress.revisions = 11;
    int lists = 0;
    Core::time_point now = start;
    for (; now < start + 20s; now += 300ms) {
        if (decideFeed(state, view, now).refresh) {
            ++lists;
            view.listedAt = now + 20ms;
        }
    }
    EXPECT_EQ(lists, 1);
    view.isWatchingStore = false;
    view.watchesStore = false;
    view.sourceSince = start;
    EXPECT_FALSE(decideFeed(state, view, now).switchSource) << "as a follower it does not look for the entry either";
    view.announcedProgress.revisions = 12;
    (void)decideFeed(state, view, now);
    EXPECT_TRUE(decideFeed(state, view, now + 600ms).switchSource) << "what is announced later is awaited";
}

/// A slow source makes all of its followers lag. They must not turn to the store at the same moment.
TEST(DecideFeed, LaggingFollowersAskTheStoreOneAfterTheOther)
{
    const auto asksStoreAfter = [](Core::duration storeFallbackDelay) {
        feed_decision_state state;
        feed_view view = followerView();
        view.sourceSince = start - 10s;
        view.announcedProgress.revisions = 12;
        view.storeFallbackDelay = storeFallbackDelay;
        Core::time_point now = start;
        while (!decideFeed(state, view, now).watchStore) {
            now += 50ms;
        }
        return now - start;
    };
    EXPECT_LT(asksStoreAfter(0ms), 1200ms);
    EXPECT_GT(asksStoreAfter(500ms), asksStoreAfter(0ms) + 400ms);
    EXPECT_LT(asksStoreAfter(10s), 3s) << "a daemon that lags may miss a configuration";
}

/// Load: a source is suspended, and entries are removed meanwhile. A removal does not change the announced numbers, so
/// that its followers waited for it to go on, and sent requests to replicas that were gone.
TEST(DecideFeed, LeavesASourceWhoseHeartbeatsHaveStopped)
{
    feed_decision_state state;
    feed_view view = followerView();
    EXPECT_FALSE(decideFeed(state, view, start).switchSource);
    view.isSourceSilent = true;
    EXPECT_TRUE(decideFeed(state, view, start + 1s).switchSource);
    EXPECT_FALSE(decideFeed(state, view, start + 1s).watchStore);
    view.isWatchingStore = true;
    EXPECT_FALSE(decideFeed(state, view, start + 2s).switchSource);
}
