#include "LibExchange/FeedCodec.h"
#include "LibExchange/FeedEvents.h"
#include "LibExchange/FeedKind.h"
#include "LibExchange/FeedState.h"

#include <gtest/gtest.h>

#include <random>

using Exchange::feed_entry;
using Exchange::feed_kind;

namespace
{
feed_kind changes(std::uint64_t position, std::vector<feed_entry> entries)
{
    return {"k", position, false, std::move(entries), {}};
}

feed_kind whole(std::uint64_t position, std::vector<feed_entry> entries)
{
    return {"k", position, true, std::move(entries), {}};
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

TEST(Feed, NewsIsReportedOnce)
{
    Exchange::feed_state state;
    EXPECT_EQ(Exchange::applyNews(state, whole(5, {{"a", 3, false, "one"}})).size(), 1U);
    EXPECT_TRUE(Exchange::applyNews(state, whole(5, {{"a", 3, false, "one"}})).empty());
    EXPECT_EQ(Exchange::applyNews(state, changes(6, {{"a", 6, false, "two"}})).size(), 1U);
    EXPECT_EQ(state.position, 6U);
}

/// A source that lags must not bring back removed or older entries.
TEST(Feed, OlderNewsChangesNothing)
{
    Exchange::feed_state state;
    (void)Exchange::applyNews(state, whole(9, {{"a", 9, false, "new"}}));
    EXPECT_TRUE(Exchange::applyNews(state, whole(7, {{"a", 3, false, "old"}, {"b", 4, false, "b"}})).empty());
    EXPECT_EQ(contentsOf(state), (std::map<std::string, std::string> {{"a", "new"}}));
}

/// After an outage of the store, an object may be missing from a list only because its registration lapsed meanwhile.
/// In any other list a missing object is removed for certain, and a replica that stopped without deregistering must not
/// be kept for long.
TEST(Feed, MissingInAListIsDoubtedAfterAnOutageOnly)
{
    Exchange::feed_state state;
    (void)Exchange::applyNews(state, whole(5, {{"a", 3, false, "a"}, {"b", 4, false, "b"}}));
    feed_kind afterOutage = whole(8, {{"a", 3, false, "a"}});
    afterOutage.doubtedFor = std::chrono::milliseconds(1500);
    const auto changed = Exchange::applyNews(state, afterOutage);
    ASSERT_EQ(changed.size(), 1U);
    EXPECT_EQ(changed[0].name, "b");
    EXPECT_TRUE(changed[0].deleted);
    EXPECT_EQ(Exchange::doubtOf(changed[0].content), std::chrono::milliseconds(1500));
    const auto certain = Exchange::applyNews(state, whole(9, {}));
    ASSERT_EQ(certain.size(), 1U);
    EXPECT_EQ(Exchange::doubtOf(certain[0].content), Core::duration {});
}

/// A follower that reads from a source repeatedly reaches the source's content, however far it lags between two reads.
TEST(Feed, FollowersConvergeOnTheSource)
{
    std::mt19937_64 random(5);
    const auto draw = [&](std::uint64_t bound) {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
    };
    Exchange::feed_state source;
    Exchange::feed_state follower;
    (void)Exchange::applyNews(source, whole(1, {}));
    for (std::uint64_t revision = 2; revision < 4000; ++revision) {
        const std::string name = "n" + std::to_string(draw(700));
        const bool deleted = draw(2) == 0;
        (void)Exchange::applyNews(
            source, changes(revision, {{name, revision, deleted, deleted ? "" : "c" + std::to_string(revision)}}));
        if (draw(40) == 0) {
            const std::string page = Exchange::encodeFeed({Exchange::newsAfter(source, "k", follower.position)});
            const auto decoded = Exchange::decodeFeed(page);
            ASSERT_TRUE(decoded);
            (void)Exchange::applyNews(follower, decoded->front());
            EXPECT_EQ(contentsOf(follower), contentsOf(source));
        }
    }
    EXPECT_LT(source.entries.size(), 1300U) << "deleted entries are never evicted";
}

TEST(Feed, BytesThatAreNoPageAreRefused)
{
    EXPECT_FALSE(Exchange::decodeFeed("abc"));
    EXPECT_FALSE(Exchange::decodeFeed(std::string(64, '\xff')));
    std::string page = Exchange::encodeFeed({whole(8, {{"a", 3, false, "a"}})});
    std::mt19937_64 random(9);
    for (int round = 0; round < 2000; ++round) {
        std::string spoiled = page;
        spoiled[random() % spoiled.size()] = static_cast<char>(random());
        (void)Exchange::decodeFeed(spoiled); // Must neither crash nor hang on malformed bytes.
    }
}

/// The watch of one kind receives no updates while that of another kind still does. The number that the daemon
/// announces must show that it lags.
TEST(Feed, KnowledgeNumberShowsOneKindThatLags)
{
    std::map<std::string, Exchange::feed_state> upToDate;
    std::map<std::string, Exchange::feed_state> lagging;
    for (auto *states : {&upToDate, &lagging}) {
        (void)Exchange::applyNews((*states)["one"], whole(7, {{"a", 7, false, "old"}}));
        (void)Exchange::applyNews((*states)["two"], whole(83, {{"b", 83, false, "b"}}));
    }
    EXPECT_EQ(Exchange::knowledgeNumber(upToDate), Exchange::knowledgeNumber(lagging));
    (void)Exchange::applyNews(upToDate["one"], changes(67, {{"a", 67, false, "new"}}));
    EXPECT_GT(Exchange::knowledgeNumber(upToDate), Exchange::knowledgeNumber(lagging));
    const std::uint64_t before = Exchange::knowledgeNumber(upToDate);
    (void)Exchange::applyNews(upToDate["one"], changes(90, {{"a", 90, true, ""}}));
    EXPECT_EQ(Exchange::knowledgeNumber(upToDate), before) << "the number must never decrease";
}
