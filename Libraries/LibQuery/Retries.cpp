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
#include "LibQuery/ShardOutcome.h"

#include <algorithm>

namespace Query
{
using Backend::attempt_failure;

/// How often waiting shards are tried again, as a part of the query's whole time.
static constexpr int waitParts = 100;

static void giveUp(query_state &query, std::size_t shardIndex, query_effects &effects)
{
    shard_state &shard = query.shards[shardIndex];
    shard.open = false;
    --query.shardsOpen;
    effects.lostShards.push_back({shardIndex, failureOf(shard)});
}

static void wait(query_state &query, Backend::service_state &service, std::size_t shardIndex, Core::time_point now)
{
    query.shards[shardIndex].waits = true;
    ++query.shardsWaiting;
    ++service.load.waiting;
    if (!query.retryAt) {
        query.retryAt = now + (query.plan.deadline - query.startedAt) / waitParts;
    }
}

static bool mayServeLater(const query_state &query, const Backend::service_state &service, std::size_t shard,
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

void waitOrGiveUp(query_state &query, Backend::service_state &service, std::size_t shard, query_effects &effects,
                  Core::time_point now)
{
    if (mayServeLater(query, service, shard, now)) {
        wait(query, service, shard, now);
    } else {
        giveUp(query, shard, effects);
    }
}

/// A restart asks every shard anew, so it must fit into the time left, and the pin must not be the newest snapshot.
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
    constexpr int leastParts = 3;
    const Core::duration least = (query.plan.deadline - query.startedAt) / leastParts;
    return query.plan.deadline - now >= least;
}

/// An attempt that never reached a backend server put no load on one.
static bool needsToken(attempt_failure failure)
{
    return failure != attempt_failure::ConnectFailed;
}

static bool sendRetry(query_state &query, Backend::service_state &service, std::size_t shardIndex,
                      query_effects &effects, Core::time_point now, Core::random_engine &random)
{
    const shard_state &shard = query.shards[shardIndex];
    const attempt_kind kind = shard.attemptsSent == 0 ? attempt_kind::First : attempt_kind::Retry;
    const bool paid = shard.attemptsSent > 0 && needsToken(shard.lastFailure);
    if (paid && !Backend::takeToken(service.extraLoad)) {
        return false;
    }
    if (!sendAttempt(query, service, shardIndex, kind, effects, now, random)) {
        if (paid) {
            Backend::returnToken(service.extraLoad);
        }
        return false;
    }
    planHedges(query, service, now);
    return true;
}

void retryAfter(query_state &query, Backend::service_state &service, std::size_t shardIndex, attempt_failure failure,
                query_effects &effects, Core::time_point now, Core::random_engine &random)
{
    shard_state &shard = query.shards[shardIndex];
    const bool safe = Backend::provesNotRun(failure);
    shard.mayHaveRun = shard.mayHaveRun || !safe;
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
    const bool mayRetry = query.plan.idempotent || safe;
    if (!mayRetry || shard.attemptsSent >= mostAttemptsPerShard || now >= query.plan.deadline) {
        giveUp(query, shardIndex, effects);
        return;
    }
    if (!sendRetry(query, service, shardIndex, effects, now, random)) {
        waitOrGiveUp(query, service, shardIndex, effects, now);
    }
}

void sendWaiting(query_state &query, Backend::service_state &service, query_effects &effects, Core::time_point now,
                 Core::random_engine &random)
{
    query.retryAt.reset();
    for (std::size_t index = 0; index < query.shards.size() && query.shardsWaiting > 0; ++index) {
        shard_state &shard = query.shards[index];
        if (!shard.waits) {
            continue;
        }
        shard.waits = false;
        --query.shardsWaiting;
        --service.load.waiting;
        if (!sendRetry(query, service, index, effects, now, random)) {
            waitOrGiveUp(query, service, index, effects, now);
        }
    }
}
} // namespace Query
