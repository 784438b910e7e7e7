#include "LibQuery/AtMostOnceEvents.h"
#include "LibQuery/AtMostOnceRegistry.h"
#include "LibQuery/RequestIdentityText.h"

#include <gtest/gtest.h>

using Query::at_most_once_decision;

namespace
{
struct at_most_once_events : testing::Test {
    Core::wall_time now {std::chrono::hours(500'000)};
    Query::at_most_once_registry registry;

    at_most_once_events()
    {
        registry.virtualMachine = "vm-1";
        registry.incarnation = 0xabc;
    }

    std::string idFor(std::uint64_t incarnation, Core::wall_time createdAt) const
    {
        return Query::formatRequestIdentity({"vm-1", incarnation, createdAt, "r1"});
    }
};
} // namespace

TEST_F(at_most_once_events, ParsesFormattedIdentityAndRejectsMalformedOnes)
{
    const Query::request_identity identity {"vm-1.north", 0xffffffffffffffff, now, "x"};
    EXPECT_EQ(Query::parseRequestIdentity(Query::formatRequestIdentity(identity)), identity);
    for (const char *text : {"", ".", "..", "a.b.c", "vm-1.5.r", "vm-zz.5.r", "vm-a.-5.r", "vm-a.5.", "-a.5.r"}) {
        EXPECT_EQ(Query::parseRequestIdentity(text).has_value(), std::string(text) == "vm-1.5.r") << text;
    }
}

TEST_F(at_most_once_events, DuplicateWaitsForRunningRequestAndReplaysItsAnswer)
{
    const std::string id = idFor(0xabc, now);
    EXPECT_EQ(Query::beginAtMostOnce(registry, id, 7, now), at_most_once_decision::Start);
    EXPECT_EQ(Query::beginAtMostOnce(registry, id, 7, now), at_most_once_decision::Wait);
    EXPECT_EQ(Query::resolveAtMostOnce(registry, id, 7, now), at_most_once_decision::Wait);
    Query::finishAtMostOnce(registry, id, 200, "done");
    EXPECT_EQ(Query::beginAtMostOnce(registry, id, 7, now), at_most_once_decision::Replay);
    EXPECT_EQ(Query::resolveAtMostOnce(registry, id, 7, now), at_most_once_decision::Replay);
}

TEST_F(at_most_once_events, InquiryBeforeRequestRefusesItPermanently)
{
    const std::string id = idFor(0xabc, now);
    EXPECT_EQ(Query::resolveAtMostOnce(registry, id, 7, now), at_most_once_decision::NotRun);
    EXPECT_EQ(Query::beginAtMostOnce(registry, id, 7, now), at_most_once_decision::NotRun)
        << "a request that arrives after the inquiry must not start";
}

TEST_F(at_most_once_events, NeverStartsRequestOfAnotherIncarnation)
{
    EXPECT_EQ(Query::beginAtMostOnce(registry, idFor(0xabd, now), 7, now), at_most_once_decision::AskNamedDaemon);
    EXPECT_EQ(Query::resolveAtMostOnce(registry, idFor(0xabd, now), 7, now), at_most_once_decision::Unknown);
}

TEST_F(at_most_once_events, KeepsEntryUntilTheWindowEnds)
{
    const std::string id = idFor(0xabc, now);
    EXPECT_EQ(Query::beginAtMostOnce(registry, id, 7, now), at_most_once_decision::Start);
    Query::finishAtMostOnce(registry, id, 200, "done");
    const auto lastMoment = now + Query::atMostOnceWindow - std::chrono::nanoseconds(1);
    EXPECT_EQ(Query::beginAtMostOnce(registry, id, 7, lastMoment), at_most_once_decision::Replay);
    EXPECT_EQ(Query::beginAtMostOnce(registry, id, 7, now + Query::atMostOnceWindow), at_most_once_decision::Unknown);
    EXPECT_TRUE(registry.entries.empty());
}

TEST_F(at_most_once_events, KeepsEntryOfRunningRequestBeyondTheWindow)
{
    const std::string id = idFor(0xabc, now);
    EXPECT_EQ(Query::beginAtMostOnce(registry, id, 7, now), at_most_once_decision::Start);
    EXPECT_EQ(Query::beginAtMostOnce(registry, id, 7, now + 2 * Query::atMostOnceWindow), at_most_once_decision::Wait);
    Query::finishAtMostOnce(registry, id, 200, "done");
    Query::removeExpiredRequests(registry, now + 2 * Query::atMostOnceWindow);
    EXPECT_TRUE(registry.entries.empty());
}

TEST_F(at_most_once_events, FullRegistryRefusesRequestsAndReportsUnknownToInquiries)
{
    registry.maximumEntries = 0;
    EXPECT_EQ(Query::beginAtMostOnce(registry, idFor(0xabc, now), 7, now), at_most_once_decision::NotRun);
    EXPECT_EQ(Query::resolveAtMostOnce(registry, idFor(0xabc, now), 7, now), at_most_once_decision::Unknown);
}

TEST_F(at_most_once_events, ReportsMismatchWhenIdIsReusedForAnotherRequest)
{
    const std::string id = idFor(0xabc, now);
    EXPECT_EQ(Query::beginAtMostOnce(registry, id, 7, now), at_most_once_decision::Start);
    Query::finishAtMostOnce(registry, id, 200, "done");
    EXPECT_EQ(Query::beginAtMostOnce(registry, id, 8, now), at_most_once_decision::Mismatch);
    EXPECT_EQ(Query::resolveAtMostOnce(registry, id, 8, now), at_most_once_decision::Mismatch);
}
