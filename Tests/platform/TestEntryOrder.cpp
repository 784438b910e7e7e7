#include "platform/EntryOrder.h"

#include "LibExchange/FeedEntry.h"

#include <gtest/gtest.h>

using Exchange::feed_entry;
using Platform::isOutdatedEntry;

namespace
{
feed_entry entry(std::uint32_t era, const std::string &content)
{
    return {"name", {era, 7}, false, content};
}
} // namespace

/// An older configuration in a copy of the store must not replace the one that daemons have in force.
TEST(EntryOrder, LowerVersionOfTheConfigurationIsOutdated)
{
    EXPECT_TRUE(isOutdatedEntry("config", entry(1, R"({"version": 9})"), entry(2, R"({"version": 5})")));
    EXPECT_TRUE(isOutdatedEntry("config", entry(2, R"({"version": 9})"), entry(2, R"({"version": 6})")))
        << "the versions in between are written again first";
    EXPECT_FALSE(isOutdatedEntry("config", entry(1, R"({"version": 9})"), entry(2, R"({"version": 10})")));
}

/// A copy may say that a replica is ready that has begun to leave since.
TEST(EntryOrder, EarlierStatementOfTheSameStartOfAReplicaIsOutdatedInALaterEra)
{
    const feed_entry known = entry(1, R"({"born": 100, "sequence": 12, "state": "draining"})");
    EXPECT_TRUE(isOutdatedEntry("servers", known, entry(2, R"({"born": 100, "sequence": 5, "state": "ready"})")));
    EXPECT_TRUE(isOutdatedEntry("servers", known, entry(2, R"({"born": 50, "sequence": 80, "state": "ready"})")));
    EXPECT_FALSE(isOutdatedEntry("servers", known, entry(2, R"({"born": 200, "sequence": 1, "state": "ready"})")));
    EXPECT_FALSE(isOutdatedEntry("servers", known, entry(1, R"({"born": 100, "sequence": 5, "state": "ready"})")))
        << "while the store keeps its history, what it says later is newer";
}

TEST(EntryOrder, RemovedContentIsComparedForADeletedEntry)
{
    feed_entry known {"name", {1, 9}, true, ""};
    known.removedContent = R"({"born": 100, "sequence": 12})";
    EXPECT_TRUE(isOutdatedEntry("servers", known, entry(2, R"({"born": 100, "sequence": 5})")));
    EXPECT_FALSE(isOutdatedEntry("servers", known, entry(2, R"({"born": 100, "sequence": 13})")));
}

TEST(EntryOrder, OrderThatCannotBeToldIsNotOutdated)
{
    for (const char *content : {"", "5", "{}", R"({"born": "x", "sequence": 5})", R"({"version": 1.5})"}) {
        EXPECT_FALSE(isOutdatedEntry("servers", entry(1, R"({"born": 100, "sequence": 12})"), entry(2, content)));
        EXPECT_FALSE(isOutdatedEntry("config", entry(1, R"({"version": 9})"), entry(2, content)));
    }
    EXPECT_FALSE(isOutdatedEntry("evacuations", entry(1, R"({"version": 9})"), entry(2, R"({"version": 5})")));
}
