#include "LibQuery/CancelledAttemptEnd.h"
#include "QueryFixture.h"

using namespace std::chrono_literals;

struct hedging : query_fixture {
};

TEST_F(hedging, SendsHedgeToAnotherReplicaAndCancelsTheLosingAttempt)
{
    prepare(1);
    recordUniformLatencies();
    const auto started = Query::startQuery(query, service, now, random);
    ASSERT_TRUE(started.wakeAt);
    now = *started.wakeAt;
    const auto hedged = Query::onTimer(query, service, now, random);
    ASSERT_EQ(hedged.sends.size(), 1U);
    EXPECT_NE(hedged.sends[0].target.replica, started.sends[0].target.replica);
    EXPECT_EQ(hedged.sends[0].timeRemaining, query.plan.deadline - now);
    const auto won = Query::onAnswer(query, service, hedged.sends[0].attempt, answerFor(0), now + 5ms, random);
    ASSERT_EQ(won.cancels.size(), 1U);
    EXPECT_EQ(won.cancels[0].attempt, started.sends[0].attempt);
    ASSERT_TRUE(won.finished);
    EXPECT_EQ(service.replicas[started.sends[0].target.replica].inFlight, 1U)
        << "the cancelled attempt holds its slot until its call ends";
    Query::onCancelledAttemptEnded(service, won.cancels[0], Query::cancelled_attempt_end::Stopped, now + 6ms);
    EXPECT_EQ(service.replicas[started.sends[0].target.replica].inFlight, 0U);
    EXPECT_EQ(service.load.inFlight, 0U);
}

TEST_F(hedging, IgnoresAnswerOfCancelledAttempt)
{
    prepare(2);
    recordUniformLatencies();
    const auto started = Query::startQuery(query, service, now, random);
    now = *started.wakeAt;
    const auto hedged = Query::onTimer(query, service, now, random);
    ASSERT_EQ(hedged.sends.size(), 2U);
    const auto first = hedged.sends[0];
    Query::shard_answer answer = answerFor(first.shard);
    answer.items.push_back({"item", 1.0});
    static_cast<void>(Query::onAnswer(query, service, first.attempt, answer, now, random));
    const auto late = Query::onAnswer(query, service, started.sends[first.shard].attempt, answer, now, random);
    EXPECT_TRUE(late.answeredShards.empty());
    EXPECT_EQ(query.items.size(), 1U);
    EXPECT_EQ(query.shardsAnswered, 1U);
}

TEST_F(hedging, NeverHedgesNonIdempotentRequest)
{
    prepare(1);
    recordUniformLatencies();
    query.plan.idempotent = false;
    const auto started = Query::startQuery(query, service, now, random);
    EXPECT_EQ(started.wakeAt, query.plan.deadline);
    for (; now < query.plan.deadline; now += 10ms) {
        EXPECT_TRUE(Query::onTimer(query, service, now, random).sends.empty());
    }
}

TEST_F(hedging, KeepsHedgesWithinBudgetWhenAllReplicasAreSlow)
{
    std::size_t first = 0;
    std::size_t extra = 0;
    const double initial = Backend::extra_load_budget().tokens;
    for (int round = 0; round < 200; ++round) {
        prepare(25);
        // Latencies are reset, so that the hedge delay stays constant and only the budget limits the hedges.
        const double tokens = round == 0 ? initial : service.extraLoad.tokens;
        service.firstAttemptLatencies = {};
        recordUniformLatencies();
        service.extraLoad.tokens = tokens;
        service.load.recentCompletions = 0.0; // No query is refused by shouldRefuse().
        const auto started = Query::startQuery(query, service, now, random);
        first += started.sends.size();
        std::optional<Core::time_point> wakeAt = started.wakeAt;
        std::vector<Query::send_attempt> running = started.sends;
        while (wakeAt && *wakeAt < query.plan.deadline) {
            now = *wakeAt;
            const auto woken = Query::onTimer(query, service, now, random);
            extra += woken.sends.size();
            running.insert(running.end(), woken.sends.begin(), woken.sends.end());
            wakeAt = woken.wakeAt;
        }
        now = query.plan.deadline;
        const auto ended = Query::onTimer(query, service, now, random);
        for (const Query::cancel_attempt &cancelled : ended.cancels) {
            Query::onCancelledAttemptEnded(service, cancelled, Query::cancelled_attempt_end::Failed, now);
        }
    }
    EXPECT_GT(extra, 0U);
    EXPECT_LE(static_cast<double>(extra), 0.05 * static_cast<double>(first) + initial);
}

TEST_F(hedging, RetriesOnNewConnectionAfterTimeout)
{
    prepare(1);
    const auto started = Query::startQuery(query, service, now, random);
    const auto retried = Query::onFailure(query, service, started.sends[0].attempt,
                                          Backend::attempt_failure::ResponseTimeout, now, random);
    ASSERT_EQ(retried.sends.size(), 1U);
    EXPECT_EQ(retried.sends[0].connection, Query::connection_choice::Fresh);
}
