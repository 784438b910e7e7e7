#include "LibQuery/Retries.h"

#include "LibBackend/AttemptFailure.h"
#include "LibBackend/ReplicaChoice.h"
#include "LibBackend/ReplicaFilter.h"
#include "LibBackend/ServiceState.h"
#include "LibBackend/ShardAvailability.h"
#include "LibQuery/Attempts.h"
#include "LibQuery/ChoosePeer.h"
#include "LibQuery/FinishQuery.h"
#include "LibQuery/Hedging.h"
#include "LibQuery/QueryState.h"
#include "LibQuery/ShardFailure.h"

#include <algorithm>

namespace Query
{
using Backend::attempt_failure;

/// Waiting shards are retried at an interval of the query's total time divided by this.
static constexpr int retryIntervalDivisor = 100;

static void failShard(query_state &query, std::size_t shardIndex, query_effects &effects)
{
    shard_state &shard = query.shards[shardIndex];
    shard.open = false;
    --query.shardsOpen;
    effects.failedShards.push_back({shardIndex, shardFailureOf(shard)});
}

static void queueForRetry(query_state &query, Backend::service_state &service, std::size_t shardIndex,
                          Core::time_point now)
{
    query.shards[shardIndex].waitingForRetry = true;
    ++query.shardsWaiting;
    ++service.load.waiting;
    if (!query.nextRetry) {
        query.nextRetry = now + (query.plan.deadline - query.startedAt) / retryIntervalDivisor;
    }
}

static bool canBeServedLater(const query_state &query, const Backend::service_state &service, std::size_t shard,
                             Core::time_point now)
{
    if (needsPeer(query, service, shard)) {
        return true;
    }
    switch (Backend::availabilityOf(service, filterFor(query, shard), now).state) {
    case Backend::availability::Available:
    case Backend::availability::Busy:
    case Backend::availability::AwaitingHandover:
        return true;
    case Backend::availability::SlowStartElsewhere:
        return !query.plan.ownReplicasOnly;
    case Backend::availability::Unserved:
        return false;
    }
    return false;
}

void queueOrFailShard(query_state &query, Backend::service_state &service, std::size_t shard, query_effects &effects,
                      Core::time_point now)
{
    if (canBeServedLater(query, service, shard, now)) {
        queueForRetry(query, service, shard, now);
    } else {
        failShard(query, shard, effects);
    }
}

/// A restart sends requests to all shards again, so it needs enough remaining time, and the service must have a newer
/// snapshot than the pinned one.
static bool shouldRestart(const query_state &query, const Backend::service_state &service, attempt_failure failure,
                          Core::time_point now)
{
    if (failure != attempt_failure::SnapshotGone || query.plan.restarted || query.plan.ownReplicasOnly) {
        return false;
    }
    if (service.currentSnapshot.empty() || service.currentSnapshot == query.plan.snapshot) {
        return false;
    }
    const bool mayHaveRun = std::any_of(query.shards.begin(), query.shards.end(), [](const shard_state &shard) {
        return shard.answered || shard.mayHaveRun || !shard.running.empty();
    });
    if (!query.plan.idempotent && mayHaveRun) {
        return false;
    }
    constexpr int restartTimeDivisor = 3;
    const Core::duration minimumRestartTime = (query.plan.deadline - query.startedAt) / restartTimeDivisor;
    return query.plan.deadline - now >= minimumRestartTime;
}

/// A retry of an attempt that failed to connect needs no token, since the attempt put no load on a backend server.
static bool retryNeedsToken(attempt_failure failure)
{
    return failure != attempt_failure::ConnectFailed;
}

static bool sendRetry(query_state &query, Backend::service_state &service, std::size_t shardIndex,
                      query_effects &effects, Core::time_point now, Core::random_engine &random)
{
    const shard_state &shard = query.shards[shardIndex];
    const attempt_kind kind = shard.attemptsSent == 0 ? attempt_kind::First : attempt_kind::Retry;
    const bool tokenTaken = shard.attemptsSent > 0 && retryNeedsToken(shard.lastFailure);
    if (tokenTaken && !Backend::takeToken(service.extraLoad)) {
        return false;
    }
    if (!sendAttempt(query, service, shardIndex, kind, effects, now, random)) {
        if (tokenTaken) {
            Backend::returnToken(service.extraLoad);
        }
        return false;
    }
    scheduleHedges(query, service, now);
    return true;
}

void retryOrFailShard(query_state &query, Backend::service_state &service, std::size_t shardIndex,
                      attempt_failure failure, query_effects &effects, Core::time_point now,
                      Core::random_engine &random)
{
    shard_state &shard = query.shards[shardIndex];
    const bool provenNotRun = Backend::provesNotRun(failure);
    shard.mayHaveRun = shard.mayHaveRun || !provenNotRun;
    shard.lastFailure = failure;
    shard.nextConnection =
        failure == attempt_failure::ResponseTimeout ? connection_choice::Fresh : shard.nextConnection;
    if (!shard.open || !shard.running.empty()) {
        return;
    }
    if (shouldRestart(query, service, failure, now)) {
        restartQuery(query, service, effects, now);
        return;
    }
    const bool mayRetry = query.plan.idempotent || provenNotRun;
    if (!mayRetry || shard.attemptsSent >= maximumAttemptsPerShard || now >= query.plan.deadline) {
        failShard(query, shardIndex, effects);
        return;
    }
    if (!sendRetry(query, service, shardIndex, effects, now, random)) {
        queueOrFailShard(query, service, shardIndex, effects, now);
    }
}

void retryWaitingShards(query_state &query, Backend::service_state &service, query_effects &effects,
                        Core::time_point now, Core::random_engine &random)
{
    query.nextRetry.reset();
    for (std::size_t index = 0; index < query.shards.size() && query.shardsWaiting > 0; ++index) {
        shard_state &shard = query.shards[index];
        if (!shard.waitingForRetry) {
            continue;
        }
        shard.waitingForRetry = false;
        --query.shardsWaiting;
        --service.load.waiting;
        if (!sendRetry(query, service, index, effects, now, random)) {
            queueOrFailShard(query, service, index, effects, now);
        }
    }
}
} // namespace Query
