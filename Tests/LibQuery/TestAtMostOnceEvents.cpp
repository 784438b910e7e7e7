#include "LibQuery/AtMostOnceEvents.h"
#include "LibQuery/AtMostOnceRegistry.h"
#include "LibQuery/RequestIdentityText.h"

#include <gtest/gtest.h>

using Query::once_decision;

namespace
{
struct once_events : testing::Test {
    Core::wall_time now {std::chrono::hours(500'000)};
    Query::once_registry registry;

    once_events()
    {
        registry.virtualMachine = "vm-1";
        registry.incarnation = 0xabc;
    }

    std::string idFor(std::uint64_t incarnation, Core::wall_time madeAt) const
    {
        return Query::formatRequestIdentity({"vm-1", incarnation, madeAt, "r1"});
    }
};
} // namespace

TEST_F(once_events, IdentityReadsBackWhatWasWritten)
{
    const Query::request_identity identity {"vm-1.north", 0xffffffffffffffff, now, "x"};
    EXPECT_EQ(Query::parseRequestIdentity(Query::formatRequestIdentity(identity)), identity);
    for (const char *wrong : {"", ".", "..", "a.b.c", "vm-1.5.r", "vm-zz.5.r", "vm-a.-5.r", "vm-a.5.", "-a.5.r"}) {
        EXPECT_EQ(Query::parseRequestIdentity(wrong).has_value(), std::string(wrong) == "vm-1.5.r") << wrong;
    }
}

TEST_F(once_events, RepeatWaitsThenGetsTheSameAnswer)
{
    const std::string id = idFor(0xabc, now);
    EXPECT_EQ(Query::beginOnce(registry, id, 7, now), once_decision::Start);
    EXPECT_EQ(Query::beginOnce(registry, id, 7, now), once_decision::Wait);
    EXPECT_EQ(Query::resolveOnce(registry, id, 7, now), once_decision::Wait);
    Query::finishOnce(registry, id, 200, "done");
    EXPECT_EQ(Query::beginOnce(registry, id, 7, now), once_decision::Replay);
    EXPECT_EQ(Query::resolveOnce(registry, id, 7, now), once_decision::Replay);
}

TEST_F(once_events, QuestionBeforeTheRequestRefusesItForGood)
{
    const std::string id = idFor(0xabc, now);
    EXPECT_EQ(Query::resolveOnce(registry, id, 7, now), once_decision::NotRun);
    EXPECT_EQ(Query::beginOnce(registry, id, 7, now), once_decision::NotRun)
        << "a request that arrives after the inquiry must not start";
}

TEST_F(once_events, RequestOfAnotherLifeNeverStartsHere)
{
    EXPECT_EQ(Query::beginOnce(registry, idFor(0xabd, now), 7, now), once_decision::AskNamedDaemon);
    EXPECT_EQ(Query::resolveOnce(registry, idFor(0xabd, now), 7, now), once_decision::Unknown);
}

TEST_F(once_events, NothingIsForgottenWhileItsIdMayStillStart)
{
    const std::string id = idFor(0xabc, now);
    EXPECT_EQ(Query::beginOnce(registry, id, 7, now), once_decision::Start);
    Query::finishOnce(registry, id, 200, "done");
    const auto lastMoment = now + Query::onceWindow - std::chrono::nanoseconds(1);
    EXPECT_EQ(Query::beginOnce(registry, id, 7, lastMoment), once_decision::Replay);
    EXPECT_EQ(Query::beginOnce(registry, id, 7, now + Query::onceWindow), once_decision::Unknown);
    EXPECT_TRUE(registry.entries.empty());
}

TEST_F(once_events, RunningRequestIsRememberedBeyondTheWindow)
{
    const std::string id = idFor(0xabc, now);
    EXPECT_EQ(Query::beginOnce(registry, id, 7, now), once_decision::Start);
    EXPECT_EQ(Query::beginOnce(registry, id, 7, now + 2 * Query::onceWindow), once_decision::Wait);
    Query::finishOnce(registry, id, 200, "done");
    Query::forgetOldRequests(registry, now + 2 * Query::onceWindow);
    EXPECT_TRUE(registry.entries.empty());
}

TEST_F(once_events, FullRegistryNeverForgetsAndNeverGuesses)
{
    registry.mostEntries = 0;
    EXPECT_EQ(Query::beginOnce(registry, idFor(0xabc, now), 7, now), once_decision::NotRun);
    EXPECT_EQ(Query::resolveOnce(registry, idFor(0xabc, now), 7, now), once_decision::Unknown);
}

TEST_F(once_events, IdOfAnotherRequestNeverMeetsItsAnswer)
{
    const std::string id = idFor(0xabc, now);
    EXPECT_EQ(Query::beginOnce(registry, id, 7, now), once_decision::Start);
    Query::finishOnce(registry, id, 200, "done");
    EXPECT_EQ(Query::beginOnce(registry, id, 8, now), once_decision::Mismatch);
    EXPECT_EQ(Query::resolveOnce(registry, id, 8, now), once_decision::Mismatch);
}
