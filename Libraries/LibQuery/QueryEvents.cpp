#include "LibQuery/QueryEvents.h"

#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ServiceState.h"
#include "LibQuery/Attempts.h"
#include "LibQuery/CancelledAttemptEnd.h"
#include "LibQuery/FinishQuery.h"
#include "LibQuery/Hedging.h"
#include "LibQuery/MergeItems.h"
#include "LibQuery/Retries.h"
#include "LibQuery/ShardAnswer.h"
#include "LibQuery/ShouldRefuse.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Query
{
/// Root and branch spend from separate budgets, so each earns only a fraction of a token per shard: together they must
/// stay within the configured budget.
static constexpr double rootEarnFraction = 0.2;
static constexpr double branchEarnFraction = 0.75;

/// Finishes the query if no shard is open; otherwise sets the next wake-up time if it changed.
static void finishOrScheduleWake(query_state &query, Backend::service_state &service, query_effects &effects,
                                 Core::time_point now)
{
    if (query.finished) {
        return;
    }
    if (query.shardsOpen == 0) {
        finishQuery(query, service, effects, now, "not every shard could be asked or answered");
        return;
    }
    Core::time_point wakeAt = query.plan.deadline;
    wakeAt = query.nextHedgeCheck ? std::min(wakeAt, *query.nextHedgeCheck) : wakeAt;
    wakeAt = query.nextRetry ? std::min(wakeAt, *query.nextRetry) : wakeAt;
    if (query.wakeAt != wakeAt) {
        query.wakeAt = wakeAt;
        effects.wakeAt = wakeAt;
    }
}

static void earnFirstAttemptTokens(const query_state &query, Backend::service_state &service)
{
    if (query.plan.ownReplicasOnly) {
        Backend::earnTokens(service.extraLoad, query.shards.size(), branchEarnFraction);
        return;
    }
    std::size_t sentToPeers = 0;
    for (const shard_state &shard : query.shards) {
        sentToPeers += shard.triedPeers.empty() ? 0 : 1;
    }
    Backend::earnTokens(service.extraLoad, query.shards.size() - sentToPeers);
    Backend::earnTokens(service.extraLoad, sentToPeers, rootEarnFraction);
}

query_effects startQuery(query_state &query, Backend::service_state &service, Core::time_point now,
                         Core::random_engine &random)
{
    query_effects effects;
    query.startedAt = now;
    query.shards.resize(query.plan.shards.size());
    query.shardsOpen = static_cast<std::uint32_t>(query.shards.size());
    if (shouldRefuse(query.plan, service, now)) {
        finishQuery(query, service, effects, now, "overloaded: the answer would come after the deadline");
        return effects;
    }
    effects.sends.reserve(query.shards.size());
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        if (!sendAttempt(query, service, index, attempt_kind::First, effects, now, random)) {
            queueOrFailShard(query, service, index, effects, now);
        }
    }
    earnFirstAttemptTokens(query, service);
    scheduleHedges(query, service, now);
    finishOrScheduleWake(query, service, effects, now);
    return effects;
}

static bool isExpectedAnswer(const query_state &query, std::size_t shardIndex, const shard_answer &answer)
{
    return answer.requestId == query.plan.requestId && answer.snapshot == query.plan.snapshot
        && answer.shard == query.plan.shards[shardIndex].name;
}

static void recordAttemptAnswer(Backend::service_state &service, const attempt_state &attempt,
                                const shard_answer &answer, Core::time_point now)
{
    Backend::recordEnded(service.load, now);
    if (isFirstAttempt(attempt.id)) {
        Backend::recordLatency(service.firstAttemptLatencies, now - attempt.sentAt);
    }
    if (attempt.target.peer.empty()) {
        Backend::recordResponse(service, attempt.target.replica, answer.report, now - attempt.sentAt, now);
        return;
    }
    Backend::peer_state &peer = service.peers[attempt.target.peer];
    --peer.inFlight;
    peer.consecutiveFailures = 0;
    peer.avoidUntil = {};
}

query_effects onAnswer(query_state &query, Backend::service_state &service, std::uint64_t attempt, shard_answer answer,
                       Core::time_point now, Core::random_engine &random)
{
    query_effects effects;
    const std::optional<attempt_state> ended = removeAttempt(query, attempt);
    if (!ended) {
        return effects;
    }
    const std::size_t shardIndex = shardOfAttempt(attempt);
    if (!isExpectedAnswer(query, shardIndex, answer)) {
        ++query.errorAnswers;
        recordAttemptFailure(service, *ended, Backend::attempt_failure::InvalidResponse, now);
        retryOrFailShard(query, service, shardIndex, Backend::attempt_failure::InvalidResponse, effects, now, random);
        finishOrScheduleWake(query, service, effects, now);
        return effects;
    }
    recordAttemptAnswer(service, *ended, answer, now);
    shard_state &shard = query.shards[shardIndex];
    shard.answered = true;
    shard.open = false;
    --query.shardsOpen;
    ++query.shardsAnswered;
    effects.answeredShards.push_back(shardIndex);
    mergeItems(query.items, std::move(answer.items));
    cancelRunning(query, service, shardIndex, effects, now);
    finishOrScheduleWake(query, service, effects, now);
    return effects;
}

query_effects onFailure(query_state &query, Backend::service_state &service, std::uint64_t attempt,
                        const Backend::failed_attempt &failed, Core::time_point now, Core::random_engine &random)
{
    query_effects effects;
    const std::optional<attempt_state> ended = removeAttempt(query, attempt);
    if (!ended) {
        return effects;
    }
    query.errorAnswers += failed.failure == Backend::attempt_failure::InvalidResponse ? 1 : 0;
    recordAttemptFailure(service, *ended, failed, now);
    retryOrFailShard(query, service, shardOfAttempt(attempt), failed.failure, effects, now, random);
    finishOrScheduleWake(query, service, effects, now);
    return effects;
}

query_effects onTimer(query_state &query, Backend::service_state &service, Core::time_point now,
                      Core::random_engine &random)
{
    query_effects effects;
    if (query.finished) {
        return effects;
    }
    if (now >= query.plan.deadline) {
        finishQuery(query, service, effects, now, "the deadline passed");
        return effects;
    }
    if (query.nextRetry && now >= *query.nextRetry) {
        retryWaitingShards(query, service, effects, now, random);
    }
    if (query.nextHedgeCheck && now >= *query.nextHedgeCheck) {
        sendHedges(query, service, effects, now, random);
    }
    finishOrScheduleWake(query, service, effects, now);
    return effects;
}

query_effects cancelQuery(query_state &query, Backend::service_state &service, Core::time_point now)
{
    query_effects effects;
    if (!query.finished) {
        finishQuery(query, service, effects, now, "cancelled by the root");
    }
    return effects;
}

void onCancelledAttemptEnded(Backend::service_state &service, const cancel_attempt &attempt, cancelled_attempt_end end,
                             Core::time_point now)
{
    Backend::recordEnded(service.load, now);
    if (!attempt.target.peer.empty()) {
        --service.peers[attempt.target.peer].inFlight;
        return;
    }
    Backend::recordCancelled(service, attempt.target.replica, now);
    // An answer within the median latency after the cancellation may have been sent before the target received the
    // cancellation, so it does not show that the target ignores cancellations.
    const auto median = Backend::latencyQuantile(service.firstAttemptLatencies, 0.5);
    const bool late = median && now - attempt.cancelledAt > *median;
    if (end == cancelled_attempt_end::Stopped) {
        Backend::recordCancellationHonoured(service.cancellations);
    } else if (end == cancelled_attempt_end::Answered && late) {
        Backend::recordCancellationIgnored(service.cancellations);
    }
}
} // namespace Query
