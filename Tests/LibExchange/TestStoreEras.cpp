#include "LibExchange/FeedCodec.h"
#include "LibExchange/FeedDecisionState.h"
#include "LibExchange/FeedEvents.h"
#include "LibExchange/FeedState.h"
#include "LibExchange/FeedUpdate.h"
#include "LibExchange/FeedView.h"

#include "LibExchange/DecideFeed.h"
#include "LibExchange/MissedChanges.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Exchange::feed_entry;
using Exchange::feed_state;
using Exchange::feed_update;
using Exchange::store_revision;

namespace
{
constexpr Core::time_point now {1000s};

feed_update fullList(store_revision position, std::vector<feed_entry> entries)
{
    return {"k", position, true, std::move(entries), {}, now};
}

/// Stands for contents that state in which order they were written.
bool isLower(const feed_entry &known, const feed_entry &received)
{
    return received.content < (known.deleted ? known.removedContent : known.content);
}

feed_state stateAt143()
{
    feed_state state;
    (void)Exchange::applyUpdate(state, fullList({1, 143}, {{"a", {1, 20}, false, "a1"}, {"b", {1, 143}, false, "b9"}}));
    return state;
}
} // namespace

/// Guards against changes that are dropped after the store was restored from a copy, until its revisions exceed those
/// that it had before: no daemon put a later configuration in force.
TEST(StoreEras, ListOfLaterEraIsAppliedThoughItsRevisionIsLower)
{
    feed_state state = stateAt143();
    const auto changed =
        Exchange::applyUpdate(state, fullList({2, 110}, {{"a", {2, 20}, false, "a1"}, {"b", {2, 108}, false, "b10"}}));
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed[0].content, "b10");
    EXPECT_EQ(state.position, (store_revision {2, 110}));
}

TEST(StoreEras, UpdateOfEarlierEraChangesNothing)
{
    feed_state state = stateAt143();
    (void)Exchange::applyUpdate(state, fullList({2, 110}, {{"a", {2, 20}, false, "a1"}}));
    EXPECT_TRUE(Exchange::applyUpdate(state, fullList({1, 200}, {{"c", {1, 200}, false, "c"}})).empty());
    EXPECT_EQ(state.position, (store_revision {2, 110}));
}

/// A daemon that follows another one learns of the new era from it, over the wire.
TEST(StoreEras, FollowerReachesTheContentOfALaterEra)
{
    feed_state source = stateAt143();
    feed_state follower = stateAt143();
    (void)Exchange::applyUpdate(
        source,
        fullList({2, 110}, {{"a", {2, 20}, false, "a1"}, {"b", {2, 30}, false, "b3"}, {"c", {2, 109}, false, "c"}}));
    EXPECT_TRUE(Exchange::hasChangesAfter(source, follower.position));
    const auto page =
        Exchange::decodeFeed(Exchange::encodeFeed({Exchange::changesAfter(source, "k", follower.position)}, now), now);
    ASSERT_TRUE(page);
    (void)Exchange::applyUpdate(follower, page->at(0));
    EXPECT_EQ(follower.position, source.position);
    EXPECT_EQ(follower.entries.at("b").content, "b3");
    EXPECT_EQ(follower.entries.at("c").content, "c");
    EXPECT_FALSE(Exchange::hasChangesAfter(source, follower.position));
    EXPECT_EQ(Exchange::progressOf({{"k", follower}}), Exchange::progressOf({{"k", source}}));
}

/// The copy is identical, so that followers receive no entry. Their progress must not seem to lag.
TEST(StoreEras, FollowerOfAnIdenticalCopyDoesNotLag)
{
    feed_state source = stateAt143();
    feed_state follower = stateAt143();
    (void)Exchange::applyUpdate(source,
                                fullList({2, 143}, {{"a", {2, 20}, false, "a1"}, {"b", {2, 143}, false, "b9"}}));
    EXPECT_TRUE(Exchange::hasChangesAfter(source, follower.position));
    (void)Exchange::applyUpdate(follower, Exchange::changesAfter(source, "k", follower.position));
    EXPECT_EQ(Exchange::progressOf({{"k", follower}}), Exchange::progressOf({{"k", source}}));
}

/// Guards against replicas that are dropped since the copy of the store lacks them: they register again within 2 s.
TEST(StoreEras, EntryThatTheCopyLacksIsOnlySuspectedOfRemoval)
{
    feed_state state = stateAt143();
    const auto changed = Exchange::applyUpdate(state, fullList({2, 110}, {{"a", {2, 20}, false, "a1"}}));
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_TRUE(changed[0].deleted);
    EXPECT_GE(Exchange::decodeSuspectedRemoval(changed[0].content), 2s);
}

/// Guards against requests to a replica that is gone, or to the daemon that has its address now, on the strength of a
/// copy of the store.
TEST(StoreEras, RemovedEntryIsNotBroughtBackByACopy)
{
    feed_state state = stateAt143();
    (void)Exchange::applyUpdate(state, {"k", {1, 150}, false, {{"b", {1, 150}, true, ""}}, {}, now});
    for (const char *content : {"b8", "b9"}) {
        feed_state restored = state;
        EXPECT_TRUE(
            Exchange::applyUpdate(
                restored, fullList({2, 110}, {{"a", {2, 20}, false, "a1"}, {"b", {2, 100}, false, content}}), isLower)
                .empty());
        EXPECT_TRUE(restored.entries.at("b").deleted);
        const auto registered =
            Exchange::applyUpdate(restored, {"k", {2, 112}, false, {{"b", {2, 112}, false, "c1"}}, {}, now}, isLower);
        EXPECT_EQ(registered.size(), 1U) << "it has registered again";
    }
}

/// A replica that only seemed to be gone lives: its entry in the copy is as good as a new one.
TEST(StoreEras, EntryWhoseRemovalWasSuspectedIsBroughtBackByACopy)
{
    feed_state state = stateAt143();
    (void)Exchange::applyUpdate(
        state, {"k", {1, 150}, false, {{"b", {1, 150}, true, Exchange::encodeSuspectedRemoval(2s), now}}, {}, now});
    const auto changed = Exchange::applyUpdate(
        state, fullList({2, 110}, {{"a", {2, 20}, false, "a1"}, {"b", {2, 100}, false, "b9", now + 1s}}), isLower);
    EXPECT_EQ(changed.size(), 1U);
}

/// Guards against an older configuration, or a replica's state from before it began to leave, that daemons relay to
/// those that start after the restore.
TEST(StoreEras, NewerContentIsKeptAndRelayedInPlaceOfThatOfACopy)
{
    feed_state state = stateAt143();
    EXPECT_TRUE(Exchange::applyUpdate(
                    state, fullList({2, 110}, {{"a", {2, 20}, false, "a1"}, {"b", {2, 90}, false, "b5"}}), isLower)
                    .empty());
    feed_state started;
    (void)Exchange::applyUpdate(started, Exchange::changesAfter(state, "k", {}), isLower);
    EXPECT_EQ(started.entries.at("b").content, "b9");
    EXPECT_EQ(
        Exchange::applyUpdate(state, {"k", {2, 120}, false, {{"b", {2, 120}, false, "c1"}}, {}, now}, isLower).size(),
        1U);
}

/// All objects were listed every few seconds until the store's revision had passed the one of before the restore.
TEST(StoreEras, RestoredStoreIsListedAgainOnce)
{
    Exchange::missed_changes state;
    EXPECT_FALSE(Exchange::shouldListAgain(state, {1, 274}, {1, 274}, now));
    EXPECT_FALSE(Exchange::shouldListAgain(state, {2, 113}, {1, 274}, now + 500ms));
    EXPECT_TRUE(Exchange::shouldListAgain(state, {2, 113}, {1, 274}, now + 1500ms));
    for (Core::duration elapsed = 2s; elapsed < 60s; elapsed += 500ms) {
        EXPECT_FALSE(Exchange::shouldListAgain(state, {2, 113}, {2, 113}, now + elapsed));
    }
}

/// Daemons that have read the store after the restore must not take the numbers of before for newer ones, and a daemon
/// that still has those must notice that it lags.
TEST(StoreEras, ProgressInALaterEraIsGreater)
{
    Exchange::feed_decision_state state;
    Exchange::feed_view view;
    view.watchesStore = true;
    view.isWatchingStore = true;
    view.hasSources = true;
    view.ownProgress = {2, 110};
    view.announcedProgress = {2, 110};
    for (Core::duration elapsed {}; elapsed < 10s; elapsed += 300ms) {
        EXPECT_FALSE(Exchange::decideFeed(state, view, now + elapsed).refresh);
    }
    view.ownProgress = {1, 274};
    EXPECT_TRUE(Exchange::decideFeed(state, view, now + 11s).refresh);
}
