#include "LibQuery/QueryEvents.h"

#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ServiceState.h"
#include "LibQuery/Attempts.h"
#include "LibQuery/CancelledEnd.h"
#include "LibQuery/FinishQuery.h"
#include "LibQuery/Hedging.h"
#include "LibQuery/MergeItems.h"
#include "LibQuery/RefuseEarly.h"
#include "LibQuery/Retries.h"
#include "LibQuery/ShardAnswer.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Query
{
/// Root and branch spend from their own budgets; together they must stay within the one that is configured.
static constexpr double rootPart = 0.2;
static constexpr double branchPart = 0.75;

/// Gives the daemon the next time to wake, if it changed, or ends the query if no shard is open.
static void settle(query_state &query, Backend::service_state &service, query_effects &effects, Core::time_point now)
{
    if (query.finished) {
        return;
    }
    if (query.shardsOpen == 0) {
        finishQuery(query, service, effects, now, "not every shard could be asked or answered");
        return;
    }
    Core::time_point wakeAt = query.plan.deadline;
    wakeAt = query.hedgeAt ? std::min(wakeAt, *query.hedgeAt) : wakeAt;
    wakeAt = query.retryAt ? std::min(wakeAt, *query.retryAt) : wakeAt;
    if (query.wakeAt != wakeAt) {
        query.wakeAt = wakeAt;
        effects.wakeAt = wakeAt;
    }
}

static void earnFirstTokens(const query_state &query, Backend::service_state &service)
{
    if (query.plan.ownReplicasOnly) {
        Backend::earnTokens(service.extraLoad, query.shards.size(), branchPart);
        return;
    }
    std::size_t atPeers = 0;
    for (const shard_state &shard : query.shards) {
        atPeers += shard.triedPeers.empty() ? 0 : 1;
    }
    Backend::earnTokens(service.extraLoad, query.shards.size() - atPeers);
    Backend::earnTokens(service.extraLoad, atPeers, rootPart);
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
            waitOrGiveUp(query, service, index, effects, now);
        }
    }
    earnFirstTokens(query, service);
    planHedges(query, service, now);
    settle(query, service, effects, now);
    return effects;
}

static bool belongsTo(const query_state &query, std::size_t shardIndex, const shard_answer &answer)
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
    const std::optional<attempt_state> ended = takeAttempt(query, attempt);
    if (!ended) {
        return effects;
    }
    const std::size_t shardIndex = shardOfAttempt(attempt);
    if (!belongsTo(query, shardIndex, answer)) {
        ++query.faultyAttempts;
        recordAttemptFailure(service, *ended, Backend::attempt_failure::InvalidResponse, now);
        retryAfter(query, service, shardIndex, Backend::attempt_failure::InvalidResponse, effects, now, random);
        settle(query, service, effects, now);
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
    settle(query, service, effects, now);
    return effects;
}

query_effects onFailure(query_state &query, Backend::service_state &service, std::uint64_t attempt,
                        const Backend::failed_attempt &failed, Core::time_point now, Core::random_engine &random)
{
    query_effects effects;
    const std::optional<attempt_state> ended = takeAttempt(query, attempt);
    if (!ended) {
        return effects;
    }
    query.faultyAttempts += failed.failure == Backend::attempt_failure::InvalidResponse ? 1 : 0;
    recordAttemptFailure(service, *ended, failed, now);
    retryAfter(query, service, shardOfAttempt(attempt), failed.failure, effects, now, random);
    settle(query, service, effects, now);
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
    if (query.retryAt && now >= *query.retryAt) {
        sendWaiting(query, service, effects, now, random);
    }
    if (query.hedgeAt && now >= *query.hedgeAt) {
        sendHedges(query, service, effects, now, random);
    }
    settle(query, service, effects, now);
    return effects;
}

query_effects abandonQuery(query_state &query, Backend::service_state &service, Core::time_point now)
{
    query_effects effects;
    if (!query.finished) {
        finishQuery(query, service, effects, now, "cancelled by the root");
    }
    return effects;
}

void onCancelledEnd(Backend::service_state &service, const cancel_attempt &attempt, cancelled_end end,
                    Core::time_point now)
{
    Backend::recordEnded(service.load, now);
    if (!attempt.target.peer.empty()) {
        --service.peers[attempt.target.peer].inFlight;
        return;
    }
    Backend::recordCancelled(service, attempt.target.replica, now);
    // An answer soon after the cancellation may have crossed it on the way and proves nothing.
    const auto median = Backend::latencyQuantile(service.firstAttemptLatencies, 0.5);
    const bool late = median && now - attempt.cancelledAt > *median;
    if (end == cancelled_end::Stopped) {
        Backend::recordCancellationHonoured(service.cancellations);
    } else if (end == cancelled_end::Answered && late) {
        Backend::recordCancellationIgnored(service.cancellations);
    }
}
} // namespace Query
