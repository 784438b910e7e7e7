#include "Fixtures.h"
#include "RequestEventsFixture.h"

#include "LibForward/AttemptFailure.h"
#include "LibForward/AttemptKind.h"
#include "LibForward/ChooseReplica.h"
#include "LibForward/MakePlan.h"
#include "LibForward/PartialResult.h"
#include "LibForward/ReplicaEvents.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/ReplicaNotices.h"
#include "LibForward/RequestEvents.h"
#include "LibForward/RequestLimits.h"
#include "LibForward/RequestState.h"
#include "LibForward/RetryAfter.h"
#include "LibForward/RetryEvents.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Forward::attempt_failure;
using Forward::request_outcome;

TEST_F(request_events_test, ScatterGatherSendsOneRequestToEachShardAndEndsWithTheLastAnswer)
{
    addReplicas(3);
    const auto started = start(Fixtures::scatterGatherConfiguration(3, 0.6), 1200ms);
    ASSERT_EQ(started.sends.size(), 3U);
    m_now += 5ms;
    EXPECT_FALSE(answer(started.sends[0].attempt).finished);
    EXPECT_FALSE(answer(started.sends[1].attempt).finished);
    EXPECT_EQ(answer(started.sends[2].attempt).finished, request_outcome::Answered);
    EXPECT_EQ(m_request.answeredSubrequests, 3U);
}

TEST_F(request_events_test, UsesFirstAnswerWhenLateShardIsHedgedOnOtherReplica)
{
    addReplicas(3);
    const auto started = start(Fixtures::scatterGatherConfiguration(3, 1.0), 1200ms);
    answer(started.sends[0].attempt);
    answer(started.sends[1].attempt);
    ASSERT_TRUE(started.wakeAt);
    m_now = *started.wakeAt;
    const auto hedged = Forward::onTimer(m_request, m_context, m_now);
    ASSERT_EQ(hedged.sends.size(), 1U);
    EXPECT_EQ(hedged.sends[0].subrequest, 2U);
    EXPECT_NE(hedged.sends[0].replica, started.sends[2].replica);
    const auto finished = answer(hedged.sends[0].attempt);
    EXPECT_EQ(finished.finished, request_outcome::Answered);
    EXPECT_EQ(finished.detached, std::vector<std::uint32_t> {started.sends[2].attempt});
    EXPECT_FALSE(answer(started.sends[2].attempt).finished);
}

/// All replicas of one shard hang. The partial response without it is sent within the target latency.
TEST_F(request_events_test, RespondsOnTimeWithPartialResultsWhenShardHangs)
{
    addReplicas(10);
    const auto started = start(Fixtures::scatterGatherConfiguration(10, 0.89), 1200ms);
    for (std::size_t index = 0; index + 1 < started.sends.size(); ++index) {
        answer(started.sends[index].attempt);
    }
    Forward::request_effects effects = started;
    while (!effects.finished) {
        ASSERT_TRUE(effects.wakeAt);
        m_now = *effects.wakeAt;
        effects = Forward::onTimer(m_request, m_context, m_now);
    }
    EXPECT_EQ(effects.finished, request_outcome::Answered);
    EXPECT_LT(m_now - m_request.plan.receivedAt, 120ms);
}

TEST_F(request_events_test, WaitsBeyondTargetLatencyWhenCoverageIsInsufficient)
{
    addReplicas(10);
    const auto started = start(Fixtures::scatterGatherConfiguration(10, 0.89), 1200ms);
    for (std::size_t index = 0; index < 8; ++index) {
        answer(started.sends[index].attempt);
    }
    m_now += 200ms;
    EXPECT_FALSE(Forward::onTimer(m_request, m_context, m_now).finished);
    EXPECT_EQ(answer(started.sends[8].attempt).finished, request_outcome::Answered);
}

TEST_F(request_events_test, ScatterGatherFailsImmediatelyWhenCoverageIsUnreachable)
{
    addReplicas(2);
    const auto started = start(Fixtures::scatterGatherConfiguration(2, 1.0), 1200ms);
    const auto retried = fail(started.sends[0].attempt, attempt_failure::ConnectionLost);
    ASSERT_EQ(retried.sends.size(), 1U);
    EXPECT_EQ(fail(retried.sends[0].attempt, attempt_failure::ConnectionLost).finished, request_outcome::Failed);
}

/// Guards against asking eight shards in vain, and failing afterwards, when the route needs nine of ten.
TEST_F(request_events_test, RefusesAtOnceWithoutSendingWhenTooFewShardsHaveAReplica)
{
    addReplicas(8);
    const auto started = start(Fixtures::scatterGatherConfiguration(10, 0.89), 1200ms);
    EXPECT_TRUE(started.sends.empty());
    EXPECT_EQ(started.finished, request_outcome::NotRun);
    EXPECT_EQ(m_request.retries, 0U);
}

TEST_F(request_events_test, EndsAsNotRunWhenNoReplicaIsRegistered)
{
    const auto started = start(Fixtures::singleServiceConfiguration(Forward::retry_policy::AtMostOnce), 4000ms);
    EXPECT_EQ(started.finished, request_outcome::NotRun);
}

TEST_F(request_events_test, AtMostOnceRequestFailsWithoutRetryWhenConnectionIsLost)
{
    addReplicas(1);
    const auto started = start(Fixtures::singleServiceConfiguration(Forward::retry_policy::AtMostOnce), 4000ms);
    const auto failed = fail(started.sends[0].attempt, attempt_failure::ConnectionLost);
    EXPECT_TRUE(failed.sends.empty());
    EXPECT_EQ(failed.finished, request_outcome::Failed);
}

TEST_F(request_events_test, AtMostOnceRequestIsNeverHedged)
{
    addReplicas(1);
    const auto started = start(Fixtures::singleServiceConfiguration(Forward::retry_policy::AtMostOnce), 4000ms);
    m_now += 3s;
    EXPECT_TRUE(Forward::onTimer(m_request, m_context, m_now).sends.empty());
    m_now = m_request.plan.callerDeadline;
    EXPECT_EQ(Forward::onTimer(m_request, m_context, m_now).finished, request_outcome::TimedOut);
    EXPECT_EQ(started.sends.size(), 1U);
}

TEST_F(request_events_test, AtMostOnceRequestRetriesOnOtherReplicaWhenNotExecuted)
{
    addReplicas(1);
    const auto started = start(Fixtures::singleServiceConfiguration(Forward::retry_policy::AtMostOnce), 4000ms);
    const auto retried = fail(started.sends[0].attempt, attempt_failure::NotExecuted);
    ASSERT_EQ(retried.sends.size(), 1U);
    EXPECT_NE(retried.sends[0].replica, started.sends[0].replica);
    // Every attempt is refused until the replicas are given up, so the request was certainly not executed.
    EXPECT_EQ(refuseUntilFinished(retried), request_outcome::NotRun);
    EXPECT_LT(m_now - m_request.plan.receivedAt, 500ms) << "the caller learns it while it has time left";
}

/// All replicas of the service refuse, and accept again a little later.
TEST_F(request_events_test, AsksReplicasAgainAfterAllHaveRefused)
{
    addReplicas(1);
    Forward::request_effects effects =
        start(Fixtures::singleServiceConfiguration(Forward::retry_policy::AtMostOnce), 4000ms);
    for (int replica = 0; replica < 3; ++replica) {
        ASSERT_EQ(effects.sends.size(), 1U);
        effects = fail(effects.sends[0].attempt, attempt_failure::NotExecuted);
    }
    EXPECT_TRUE(effects.sends.empty());
    ASSERT_FALSE(effects.finished);
    ASSERT_TRUE(effects.wakeAt);
    EXPECT_GT(*effects.wakeAt, m_now);
    m_now = *effects.wakeAt;
    effects = Forward::onTimer(m_request, m_context, m_now);
    ASSERT_EQ(effects.sends.size(), 1U);
    EXPECT_EQ(answer(effects.sends[0].attempt).finished, request_outcome::Answered);
}

/// Callers retry once or twice, so that they must not be told to return before the cause has passed.
TEST_F(request_events_test, RefusalStatesALongerDelayWhenNoReplicaIsAvailable)
{
    const auto delayAfter = [this]() {
        return Forward::randomRetryAfter(Forward::refusalCauseOf(m_request), m_context.random);
    };
    const auto configuration = Fixtures::singleServiceConfiguration(Forward::retry_policy::AtMostOnce);
    EXPECT_EQ(start(configuration, 4000ms).finished, request_outcome::NotRun) << "there is no replica";
    EXPECT_GE(delayAfter(), 300ms);
    m_request = {};
    addReplicas(1);
    m_context.replicaTable.retryLimits.slack = 0.0;
    const auto started = start(configuration, 4000ms);
    EXPECT_EQ(fail(started.sends[0].attempt, attempt_failure::NotExecuted).finished, request_outcome::NotRun);
    EXPECT_LE(delayAfter(), 150ms) << "a full replica has room again after a few service times";
}

/// The limit of a replica leaves room again within a fraction of a second.
TEST_F(request_events_test, RefusalStatesAShortDelayWhenRequestLimitsAreTheCause)
{
    addReplicas(1);
    for (std::size_t replica = 0; replica < 3; ++replica) {
        EXPECT_TRUE(Forward::recordRequestLimit(m_context.replicaTable,
                                                Forward::replicaAt(m_context.replicaTable, {0, replica}), 5.0, m_now));
    }
    const auto started = start(Fixtures::singleServiceConfiguration(Forward::retry_policy::Idempotent), 4000ms);
    EXPECT_EQ(started.finished, request_outcome::NotRun);
    EXPECT_LE(Forward::randomRetryAfter(Forward::refusalCauseOf(m_request), m_context.random), 150ms);
}

/// Further attempts would take the budget from requests that can still be served.
TEST_F(request_events_test, EndsAsNotRunWhenReplicasRefuseAndTheRetryBudgetIsUsed)
{
    addReplicas(1);
    m_context.replicaTable.retryLimits.slack = 0.0;
    const auto started = start(Fixtures::singleServiceConfiguration(Forward::retry_policy::AtMostOnce), 4000ms);
    EXPECT_EQ(fail(started.sends[0].attempt, attempt_failure::NotExecuted).finished, request_outcome::NotRun);
}

TEST_F(request_events_test, EndsAsFailedWhenAnEarlierAttemptMayHaveRunBeforeARefusal)
{
    addReplicas(1);
    const auto started = start(Fixtures::singleServiceConfiguration(Forward::retry_policy::Idempotent), 4000ms);
    const auto retried = fail(started.sends[0].attempt, attempt_failure::ConnectionLost);
    ASSERT_EQ(retried.sends.size(), 1U);
    EXPECT_EQ(refuseUntilFinished(retried), request_outcome::Failed);
}

TEST_F(request_events_test, ForwardsReplicaErrorWhenNoRetryIsAllowed)
{
    addReplicas(1);
    const auto started = start(Fixtures::singleServiceConfiguration(Forward::retry_policy::AtMostOnce), 4000ms);
    EXPECT_EQ(fail(started.sends[0].attempt, attempt_failure::Error).finished, request_outcome::ReplicaFailed);
}

TEST_F(request_events_test, StopsRetryingWhenTheRoutesAttemptsAreUsed)
{
    addReplicas(1);
    m_context.replicaTable.retryLimits.slack = 1000.0;
    const auto started = start(Fixtures::singleServiceConfiguration(Forward::retry_policy::Idempotent), 4000ms);
    const auto retried = fail(started.sends[0].attempt, attempt_failure::ConnectionLost);
    ASSERT_EQ(retried.sends.size(), 1U);
    const auto ended = fail(retried.sends[0].attempt, attempt_failure::ConnectionLost);
    EXPECT_TRUE(ended.sends.empty());
    EXPECT_TRUE(ended.finished);
}

TEST_F(request_events_test, UnsentAttemptDoesNotCountAgainstTheRoutesAttempts)
{
    addReplicas(1);
    const auto started = start(Fixtures::singleServiceConfiguration(Forward::retry_policy::AtMostOnce), 4000ms);
    const auto second = fail(started.sends[0].attempt, attempt_failure::NotSent);
    ASSERT_EQ(second.sends.size(), 1U);
    const auto third = fail(second.sends[0].attempt, attempt_failure::NotExecuted);
    ASSERT_EQ(third.sends.size(), 1U);
    EXPECT_EQ(answer(third.sends[0].attempt).finished, request_outcome::Answered);
}

/// The connection for a retry opens after the caller's deadline, or the process stood still until then.
TEST_F(request_events_test, WithdrawnAttemptGivesBackItsSlotAndBudget)
{
    addReplicas(1);
    m_context.replicaTable.retryLimits.slack = 1.0;
    m_context.replicaTable.retryLimits.ratio = 0.0;
    const auto started = start(Fixtures::singleServiceConfiguration(Forward::retry_policy::Idempotent), 4000ms);
    const auto retried = fail(started.sends[0].attempt, attempt_failure::ConnectionLost);
    ASSERT_EQ(retried.sends.size(), 1U);
    Forward::replica_state &replica = Forward::replicaAt(m_context.replicaTable, retried.sends[0].replica);
    m_now += 4s;
    Forward::recordFailure(m_context.replicaTable, retried.sends[0].replica, attempt_failure::Withdrawn, m_now - 4s,
                           m_now);
    const auto ended = fail(retried.sends[0].attempt, attempt_failure::Withdrawn);
    EXPECT_TRUE(ended.sends.empty()) << "the deadline has passed";
    EXPECT_TRUE(ended.finished);
    EXPECT_TRUE(replica.outstanding.empty());
    EXPECT_FALSE(Forward::isAvoided(replica, m_now)) << "the replica had no part in it";
    EXPECT_TRUE(Forward::tryTakeRetry(m_context.replicaTable.services[0]->retryBudget,
                                      m_context.replicaTable.retryLimits, Forward::attempt_kind::Retry, m_now));
}

/// The connection opens late, or the process stood still meanwhile.
TEST_F(request_events_test, AttemptIsSentOnlyWhileItsRequestReplicaAndDeadlineHold)
{
    addReplicas(1);
    const auto started = start(Fixtures::singleServiceConfiguration(Forward::retry_policy::Idempotent), 4000ms);
    const Forward::replica_key replica = started.sends[0].replica;
    const std::string id = Forward::replicaAt(m_context.replicaTable, replica).registration.id;
    const Core::time_point deadline = m_now + 4s;
    const auto timeLeftAt = [&](Core::time_point now, const std::string &replicaId) {
        return Forward::timeLeftForAttempt(m_request, m_context.replicaTable, replica, replicaId, deadline, now);
    };
    EXPECT_EQ(timeLeftAt(m_now + 1s, id), 3000ms);
    EXPECT_EQ(timeLeftAt(deadline - 1ms, id), 1ms);
    EXPECT_EQ(timeLeftAt(deadline - 500us, id), std::nullopt) << "replicas are told whole milliseconds";
    EXPECT_EQ(timeLeftAt(deadline + 1600ms, id), std::nullopt);
    EXPECT_EQ(timeLeftAt(m_now + 1s, "another"), std::nullopt);
    Forward::removeReplica(m_context.replicaTable, id);
    EXPECT_EQ(timeLeftAt(m_now + 1s, id), std::nullopt);
    Forward::replicaAt(m_context.replicaTable, replica).removed = false;
    m_request.finished = true;
    EXPECT_EQ(timeLeftAt(m_now + 1s, id), std::nullopt);
}

/// The replica is removed while the attempt waits for a connection.
TEST_F(request_events_test, WithdrawnAttemptMovesToAnotherReplicaWhileThereIsTime)
{
    addReplicas(1);
    const auto started = start(Fixtures::singleServiceConfiguration(Forward::retry_policy::AtMostOnce), 4000ms);
    const auto moved = fail(started.sends[0].attempt, attempt_failure::Withdrawn);
    ASSERT_EQ(moved.sends.size(), 1U);
    EXPECT_NE(moved.sends[0].replica, started.sends[0].replica);
    EXPECT_EQ(answer(moved.sends[0].attempt).finished, request_outcome::Answered);
}

/// The process stood still beyond the caller's deadline, with a hedge due in between.
TEST_F(request_events_test, SendsNoHedgeAfterTheCallersDeadline)
{
    addReplicas(1);
    const auto started = start(Fixtures::singleServiceConfiguration(Forward::retry_policy::Idempotent), 4000ms);
    m_now += 5s;
    const auto woken = Forward::onTimer(m_request, m_context, m_now);
    EXPECT_TRUE(woken.sends.empty());
    EXPECT_EQ(woken.finished, request_outcome::TimedOut);
    EXPECT_EQ(started.sends.size(), 1U);
}

TEST_F(request_events_test, AppliesTheShorterOfCallerAndRouteTimeout)
{
    addReplicas(1);
    start(Fixtures::singleServiceConfiguration(Forward::retry_policy::Idempotent), 300ms);
    EXPECT_LT(m_request.plan.callerDeadline - m_now, 300ms);
    m_request = {};
    start(Fixtures::singleServiceConfiguration(Forward::retry_policy::Idempotent), 1h);
    EXPECT_LE(m_request.plan.callerDeadline - m_now, 4000ms);
}

/// All replicas of a shard are unresponsive. Once they are presumed down, the response does not wait for that shard.
TEST_F(request_events_test, DoesNotWaitForShardWhenItsReplicasArePresumedDown)
{
    addReplicas(10);
    for (std::size_t replica = 0; replica < 3; ++replica) {
        for (int failure = 0; failure < 3; ++failure) {
            Forward::recordSent(m_context.replicaTable, {4, replica}, m_now);
            Forward::recordFailure(m_context.replicaTable, {4, replica}, attempt_failure::NoResponse, m_now, m_now);
        }
    }
    const auto started = start(Fixtures::scatterGatherConfiguration(10, 0.89), 1200ms);
    ASSERT_EQ(started.sends.size(), 9U);
    m_now += 20ms;
    Forward::request_effects last;
    for (const Forward::send_attempt &sent : started.sends) {
        last = answer(sent.attempt);
    }
    EXPECT_EQ(last.finished, request_outcome::Answered);
    // The replicas are tried again after a while.
    m_now += 10s;
    m_request = {};
    EXPECT_EQ(start(Fixtures::scatterGatherConfiguration(10, 0.89), 1200ms).sends.size(), 10U);
}

/// If the route requires every shard, replicas that are presumed down are still tried, since they may have recovered.
TEST_F(request_events_test, SendsToRequiredShardWhenItsReplicasArePresumedDown)
{
    addReplicas(2);
    for (std::size_t replica = 0; replica < 3; ++replica) {
        for (int failure = 0; failure < 3; ++failure) {
            Forward::recordSent(m_context.replicaTable, {0, replica}, m_now);
            Forward::recordFailure(m_context.replicaTable, {0, replica}, attempt_failure::NoResponse, m_now, m_now);
        }
    }
    EXPECT_EQ(start(Fixtures::scatterGatherConfiguration(2, 1.0), 1200ms).sends.size(), 2U);
}

/// All replicas of a shard are lost for several seconds. Responses that are late for lack of replicas must not reduce
/// the concurrency limit.
TEST_F(request_events_test, KeepsConcurrencyLimitWhenResponsesAreLateForLackOfReplicas)
{
    addReplicas(10);
    for (const char *id : {"s3-a", "s3-b", "s3-c"}) {
        Forward::removeReplica(m_context.replicaTable, id);
    }
    for (int round = 0; round < 200; ++round) {
        m_request = {};
        const auto started = start(Fixtures::scatterGatherConfiguration(10, 0.89), 1200ms);
        ASSERT_EQ(started.sends.size(), 9U) << "refused in round " << round;
        m_now += 200ms;
        for (const Forward::send_attempt &sent : started.sends) {
            Forward::recordAnswer(m_context.replicaTable, sent.replica, m_now - 200ms, m_now);
            (void)answer(sent.attempt);
        }
        EXPECT_TRUE(m_request.finished);
    }
}

/// Guards against a request that reaches a replica after it has asked for quiet or said that it shuts down, because it
/// was chosen before and waited for a connection. Any kind of attempt is withdrawn and goes elsewhere.
TEST_F(request_events_test, AttemptIsWithdrawnWhenReplicaTakesNoRequestsAnyMore)
{
    addReplicas(1);
    const auto effects = start(Fixtures::scatterGatherConfiguration(1, 0.5), 1s);
    const Forward::replica_key key = effects.sends.at(0).replica;
    Forward::replica_state &replica = Forward::replicaAt(m_context.replicaTable, key);
    const Core::time_point deadline = m_now + 1s;
    const auto left = [&]() {
        return Forward::timeLeftForAttempt(m_request, m_context.replicaTable, key, replica.registration.id, deadline,
                                           m_now);
    };
    EXPECT_TRUE(left());
    EXPECT_TRUE(Forward::recordRetryAfter(m_context.replicaTable, replica, 100ms, m_now));
    EXPECT_FALSE(left());
    m_now += 200ms;
    EXPECT_TRUE(left());
    EXPECT_TRUE(Forward::recordShutdownNotice(m_context.replicaTable, replica, m_now));
    EXPECT_FALSE(left());
    const auto again = fail(effects.sends[0].attempt, Forward::attempt_failure::Withdrawn);
    ASSERT_EQ(again.sends.size(), 1U);
    EXPECT_NE(again.sends[0].replica.replica, key.replica);
}

/// Guards against a request that waits although all replicas of its shards have asked for quiet, and against callers
/// that return before the replicas do.
TEST_F(request_events_test, RefusesAtOnceWhenAllReplicasWantNoRequests)
{
    addReplicas(2);
    for (const auto &service : m_context.replicaTable.services) {
        Core::duration period = 4s;
        for (Forward::replica_state &replica : service->replicas) {
            EXPECT_TRUE(Forward::recordRetryAfter(m_context.replicaTable, replica, period, m_now));
            period -= 1s; // The last one is asked again first, after 2 s.
        }
    }
    const auto effects = start(Fixtures::scatterGatherConfiguration(2, 1.0), 1s);
    EXPECT_TRUE(effects.sends.empty());
    EXPECT_EQ(effects.finished, Forward::request_outcome::NotRun);
    const Core::duration retryAfter = Forward::retryAfterFor(m_request, m_context, m_now);
    EXPECT_GE(retryAfter, 2s);
    EXPECT_LE(retryAfter, 3s);
}

/// Guards against a request that asks again, or waits for, replicas that have refused it and want no other for longer.
TEST_F(request_events_test, EndsAtOnceWhenRefusingReplicasWantNoRequests)
{
    addReplicas(1);
    auto effects = start(Fixtures::scatterGatherConfiguration(1, 1.0), 1s);
    for (int refusal = 0; refusal < 3; ++refusal) {
        ASSERT_EQ(effects.sends.size(), 1U);
        Forward::replica_state &replica = Forward::replicaAt(m_context.replicaTable, effects.sends[0].replica);
        EXPECT_TRUE(Forward::recordRetryAfter(m_context.replicaTable, replica, 1s, m_now));
        effects = fail(effects.sends[0].attempt, Forward::attempt_failure::NotExecuted);
    }
    EXPECT_EQ(effects.finished, Forward::request_outcome::NotRun);
}
