#include "LibExchange/FeedCodec.h"
#include "LibExchange/FeedEvents.h"
#include "LibExchange/FeedState.h"
#include "LibExchange/FeedUpdate.h"

#include <gtest/gtest.h>

#include <random>

using Exchange::feed_entry;
using Exchange::feed_update;

namespace
{
constexpr Core::time_point now {std::chrono::seconds(1000)};

feed_update incrementalUpdate(std::uint64_t position, std::vector<feed_entry> entries)
{
    return {"k", {0, position}, false, std::move(entries), {}};
}

feed_update fullUpdate(std::uint64_t position, std::vector<feed_entry> entries)
{
    return {"k", {0, position}, true, std::move(entries), {}};
}

std::map<std::string, std::string> contentsOf(const Exchange::feed_state &state)
{
    std::map<std::string, std::string> contents;
    for (const auto &[name, entry] : state.entries) {
        if (!entry.deleted) {
            contents[name] = entry.content;
        }
    }
    return contents;
}
} // namespace

TEST(Feed, RepeatedUpdateReportsNoChange)
{
    Exchange::feed_state state;
    EXPECT_EQ(Exchange::applyUpdate(state, fullUpdate(5, {{"a", {0, 3}, false, "one"}})).size(), 1U);
    EXPECT_TRUE(Exchange::applyUpdate(state, fullUpdate(5, {{"a", {0, 3}, false, "one"}})).empty());
    EXPECT_EQ(Exchange::applyUpdate(state, incrementalUpdate(6, {{"a", {0, 6}, false, "two"}})).size(), 1U);
    EXPECT_EQ(state.position.number, 6U);
}

/// A source that lags must not bring back removed or older entries.
TEST(Feed, OlderUpdateChangesNothing)
{
    Exchange::feed_state state;
    (void)Exchange::applyUpdate(state, fullUpdate(9, {{"a", {0, 9}, false, "new"}}));
    EXPECT_TRUE(
        Exchange::applyUpdate(state, fullUpdate(7, {{"a", {0, 3}, false, "old"}, {"b", {0, 4}, false, "b"}})).empty());
    EXPECT_EQ(contentsOf(state), (std::map<std::string, std::string> {{"a", "new"}}));
}

/// After an outage of the store, an object may be missing from a list only because its registration lapsed meanwhile.
/// In any other list a missing object is removed for certain, and a replica that stopped without deregistering must not
/// be kept for long.
TEST(Feed, RemovalIsSuspectedOnlyIfListFollowsOutage)
{
    Exchange::feed_state state;
    (void)Exchange::applyUpdate(state, fullUpdate(5, {{"a", {0, 3}, false, "a"}, {"b", {0, 4}, false, "b"}}));
    feed_update afterOutage = fullUpdate(8, {{"a", {0, 3}, false, "a"}});
    afterOutage.suspectedRemovalWait = std::chrono::milliseconds(1500);
    const auto changed = Exchange::applyUpdate(state, afterOutage);
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed[0].name, "b");
    EXPECT_TRUE(changed[0].deleted);
    EXPECT_EQ(Exchange::decodeSuspectedRemoval(changed[0].content), std::chrono::milliseconds(1500));
    const auto certain = Exchange::applyUpdate(state, fullUpdate(9, {}));
    ASSERT_EQ(certain.size(), 1U);
    EXPECT_EQ(Exchange::decodeSuspectedRemoval(certain[0].content), Core::duration {});
}

/// A follower that reads from a source repeatedly reaches the source's content, however far it lags between two reads.
TEST(Feed, FollowerConvergesOnSource)
{
    std::mt19937_64 random(5);
    const auto draw = [&](std::uint64_t bound) {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
    };
    Exchange::feed_state source;
    Exchange::feed_state follower;
    (void)Exchange::applyUpdate(source, fullUpdate(1, {}));
    for (std::uint64_t revision = 2; revision < 4000; ++revision) {
        const std::string name = "n" + std::to_string(draw(700));
        const bool deleted = draw(2) == 0;
        (void)Exchange::applyUpdate(
            source,
            incrementalUpdate(revision,
                              {{name, {0, revision}, deleted, deleted ? "" : "c" + std::to_string(revision)}}));
        if (draw(40) == 0) {
            const std::string page =
                Exchange::encodeFeed({Exchange::changesAfter(source, "k", follower.position)}, now);
            const auto decoded = Exchange::decodeFeed(page, now);
            ASSERT_TRUE(decoded);
            (void)Exchange::applyUpdate(follower, decoded->front());
            EXPECT_EQ(contentsOf(follower), contentsOf(source));
        }
    }
    EXPECT_LT(source.entries.size(), 1300U) << "deleted entries are never evicted";
}

TEST(Feed, DecodeRefusesMalformedPage)
{
    EXPECT_FALSE(Exchange::decodeFeed("abc", now));
    EXPECT_FALSE(Exchange::decodeFeed(std::string(64, '\xff'), now));
    std::string page = Exchange::encodeFeed({fullUpdate(8, {{"a", {0, 3}, false, "a"}})}, now);
    std::mt19937_64 random(9);
    for (int round = 0; round < 2000; ++round) {
        std::string corrupted = page;
        corrupted[random() % corrupted.size()] = static_cast<char>(random());
        (void)Exchange::decodeFeed(corrupted, now); // Must neither crash nor hang on malformed bytes.
    }
}

/// The watch of one kind receives no updates while that of another kind still does. The number that the daemon
/// announces must show that it lags.
TEST(Feed, ProgressNumberIsLowerWhenOneKindLags)
{
    std::map<std::string, Exchange::feed_state> upToDate;
    std::map<std::string, Exchange::feed_state> lagging;
    for (auto *states : {&upToDate, &lagging}) {
        (void)Exchange::applyUpdate((*states)["one"], fullUpdate(7, {{"a", {0, 7}, false, "old"}}));
        (void)Exchange::applyUpdate((*states)["two"], fullUpdate(83, {{"b", {0, 83}, false, "b"}}));
    }
    EXPECT_EQ(Exchange::progressOf(upToDate), Exchange::progressOf(lagging));
    (void)Exchange::applyUpdate(upToDate["one"], incrementalUpdate(67, {{"a", {0, 67}, false, "new"}}));
    EXPECT_GT(Exchange::progressOf(upToDate), Exchange::progressOf(lagging));
    const Exchange::feed_progress before = Exchange::progressOf(upToDate);
    (void)Exchange::applyUpdate(upToDate["one"], incrementalUpdate(90, {{"a", {0, 90}, true, ""}}));
    EXPECT_EQ(Exchange::progressOf(upToDate), before) << "the number must never decrease";
}

/// Guards against a daemon that learns late of a removal and takes the age of the news for zero: the age includes the
/// time at each daemon that relayed the entry.
TEST(Feed, AgeOfEntriesGrowsWithEachDaemonThatRelaysThem)
{
    using namespace std::chrono_literals;
    Exchange::feed_state source;
    Exchange::feed_state relay;
    const feed_update known = incrementalUpdate(2, {{"a", {0, 2}, false, "content", {}}});
    for (Exchange::feed_state *state : {&source, &relay}) {
        (void)Exchange::applyUpdate(*state, known);
    }
    (void)Exchange::applyUpdate(source, incrementalUpdate(6, {{"a", {0, 6}, true, "", now}}));
    const auto overWire = [](const Exchange::feed_state &state, Core::duration sentAfter, Core::duration clockOffset) {
        const std::string page = Exchange::encodeFeed({Exchange::changesAfter(state, "k", {0, 2})}, now + sentAfter);
        return Exchange::decodeFeed(page, now + sentAfter + clockOffset).value().at(0);
    };
    (void)Exchange::applyUpdate(relay, overWire(source, 700ms, 1h)); // The clocks of daemons have nothing in common.
    EXPECT_EQ(relay.entries.at("a").learnedAt, now + 1h);
    Exchange::feed_state last;
    (void)Exchange::applyUpdate(last, known);
    const auto removed = Exchange::applyUpdate(last, overWire(relay, 1h + 1900ms, -30min));
    ASSERT_EQ(removed.size(), 1U);
    EXPECT_EQ(removed[0].learnedAt, now + 30min);
}

/// Guards against a removal that followers never learn of. A daemon that has just started has no removals of before its
/// first list, and gave a follower that was behind that list the present entries only.
TEST(Feed, DaemonThatHasJustStartedGivesAFullListToAFollowerThatIsBehind)
{
    Exchange::feed_state follower;
    (void)Exchange::applyUpdate(follower, fullUpdate(5, {{"a", {0, 3}, false, "a"}, {"b", {0, 4}, false, "b"}}));
    Exchange::feed_state started;
    (void)Exchange::applyUpdate(started, fullUpdate(8, {{"a", {0, 3}, false, "a"}}));
    ASSERT_TRUE(Exchange::hasChangesAfter(started, follower.position));
    const auto changed = Exchange::applyUpdate(follower, Exchange::changesAfter(started, "k", follower.position));
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_TRUE(changed[0].deleted);
}

/// The same for a daemon that lists again: an object that was created and removed in between is in neither list.
TEST(Feed, PositionsThatAListWentOverAreAnsweredWithAFullList)
{
    Exchange::feed_state source;
    (void)Exchange::applyUpdate(source, fullUpdate(5, {}));
    (void)Exchange::applyUpdate(source, fullUpdate(9, {}));
    Exchange::feed_state follower;
    (void)Exchange::applyUpdate(follower, fullUpdate(7, {{"a", {0, 6}, false, "a"}}));
    EXPECT_TRUE(Exchange::hasChangesAfter(source, follower.position));
    (void)Exchange::applyUpdate(follower, Exchange::changesAfter(source, "k", follower.position));
    EXPECT_TRUE(contentsOf(follower).empty());
    EXPECT_FALSE(Exchange::changesAfter(source, "k", {0, 5}).isFullList) << "the source was there itself";
}

/// Guards against full lists, which are large, for a daemon that has only changed its source.
TEST(Feed, PositionsThatWereWatchedAreAnsweredWithChanges)
{
    Exchange::feed_state source;
    (void)Exchange::applyUpdate(source, fullUpdate(5, {{"a", {0, 3}, false, "a"}}));
    for (std::uint64_t revision = 6; revision < 20; ++revision) {
        feed_update watched = incrementalUpdate(revision, {{"b", {0, revision}, revision % 2 == 0, ""}});
        watched.since = Exchange::store_revision {0, revision - 1};
        (void)Exchange::applyUpdate(source, watched);
    }
    for (std::uint64_t position = 5; position < 20; ++position) {
        EXPECT_FALSE(Exchange::changesAfter(source, "k", {0, position}).isFullList) << position;
    }
    EXPECT_TRUE(Exchange::changesAfter(source, "k", {0, 4}).isFullList);
}

/// A daemon that never had an object passes its removal on all the same.
TEST(Feed, RemovalOfAnUnknownObjectIsRelayed)
{
    Exchange::feed_state source;
    (void)Exchange::applyUpdate(source, fullUpdate(5, {}));
    feed_update watched = incrementalUpdate(9, {{"a", {0, 9}, true, ""}});
    watched.since = Exchange::store_revision {0, 5};
    EXPECT_TRUE(Exchange::applyUpdate(source, watched).empty());
    const feed_update relayed = Exchange::changesAfter(source, "k", {0, 7});
    ASSERT_EQ(relayed.entries.size(), 1U);
    EXPECT_TRUE(relayed.entries[0].deleted);
}
