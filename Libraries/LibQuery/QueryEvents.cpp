#include "LibQuery/QueryEvents.h"

#include "LibBackend/AttemptFailure.h"
#include "LibBackend/ReplicaChoice.h"
#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ReplicaFilter.h"
#include "LibBackend/ServiceState.h"
#include "LibQuery/Coverage.h"
#include "LibQuery/ShardAnswer.h"

#include <algorithm>
#include <optional>

namespace Query
{
static constexpr std::size_t mostItems = 100;
static constexpr std::uint32_t mostAttemptsPerShard = 3;

static bool sendAttempt(query_state &query, Backend::service_state &service, std::size_t shardIndex,
                        query_effects &effects, Core::time_point now, Core::random_engine &random)
{
    shard_state &shard = query.shards[shardIndex];
    const Backend::replica_filter filter {query.plan.shards[shardIndex].name, query.plan.version,
                                          &query.plan.dataCentres, shard.triedReplicas};
    const std::optional<std::size_t> replica = Backend::chooseReplica(service, filter, now, random);
    if (!replica) {
        return false;
    }
    const std::uint64_t attempt = query.nextAttempt++;
    const shard_target target {"", *replica};
    Backend::recordSent(service, *replica, now);
    shard.running.push_back({attempt, target, now});
    shard.triedReplicas.push_back(*replica);
    ++shard.attemptsSent;
    effects.sends.push_back({attempt, shardIndex, target, query.plan.deadline - now, query.plan.deadline});
    return true;
}

static outcome outcomeOf(const query_state &query)
{
    if (query.shardsAnswered == query.shards.size()) {
        return outcome::Answered;
    }
    if (query.shardsAnswered > 0) {
        return outcome::Partial;
    }
    const bool mayHaveRun = std::any_of(query.shards.begin(), query.shards.end(), [](const shard_state &shard) {
        return shard.mayHaveRun || !shard.running.empty();
    });
    return mayHaveRun ? outcome::Unknown : outcome::NotRun;
}

static void finishQuery(query_state &query, Backend::service_state &service, query_effects &effects,
                        Core::time_point now)
{
    query_result result;
    result.requestId = query.plan.requestId;
    result.result = outcomeOf(query);
    result.snapshot = query.plan.snapshot;
    result.coverage = coverageOf(query);
    result.shardsAnswered = query.shardsAnswered;
    result.shardsTotal = static_cast<std::uint32_t>(query.shards.size());
    for (shard_state &shard : query.shards) {
        result.shardRequests += shard.attemptsSent;
        for (const attempt_state &running : shard.running) {
            Backend::recordCancelled(service, running.target.replica, now);
            effects.cancels.push_back(running.id);
        }
        shard.running.clear();
    }
    const auto better = [](const result_item &left, const result_item &right) {
        return left.score != right.score ? left.score > right.score : left.id < right.id;
    };
    std::sort(query.items.begin(), query.items.end(), better);
    if (query.items.size() > mostItems) {
        query.items.resize(mostItems);
    }
    result.items = std::move(query.items);
    query.finished = true;
    effects.wakeAt.reset();
    effects.finished = std::move(result);
}

static bool isStuck(const query_state &query)
{
    return std::all_of(query.shards.begin(), query.shards.end(),
                       [](const shard_state &shard) { return shard.answered || shard.running.empty(); });
}

static void finishIfStuck(query_state &query, Backend::service_state &service, query_effects &effects,
                          Core::time_point now)
{
    if (!query.finished && isStuck(query)) {
        finishQuery(query, service, effects, now);
    }
}

query_effects startQuery(query_state &query, Backend::service_state &service, Core::time_point now,
                         Core::random_engine &random)
{
    query_effects effects;
    query.shards.resize(query.plan.shards.size());
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        sendAttempt(query, service, index, effects, now, random);
    }
    effects.wakeAt = query.plan.deadline;
    finishIfStuck(query, service, effects, now);
    return effects;
}

static std::optional<std::size_t> takeAttempt(query_state &query, std::uint64_t id, attempt_state &attempt)
{
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        std::vector<attempt_state> &running = query.shards[index].running;
        const auto found = std::find_if(running.begin(), running.end(),
                                        [id](const attempt_state &candidate) { return candidate.id == id; });
        if (found != running.end()) {
            attempt = *found;
            running.erase(found);
            return index;
        }
    }
    return std::nullopt;
}

static bool belongsTo(const query_state &query, std::size_t shardIndex, const shard_answer &answer)
{
    return answer.requestId == query.plan.requestId && answer.snapshot == query.plan.snapshot
        && answer.shard == query.plan.shards[shardIndex].name;
}

static void endAttempt(query_state &query, Backend::service_state &service, std::size_t shardIndex,
                       Backend::attempt_failure failure, query_effects &effects, Core::time_point now,
                       Core::random_engine &random)
{
    shard_state &shard = query.shards[shardIndex];
    const bool safe = Backend::provesNotRun(failure);
    shard.mayHaveRun = shard.mayHaveRun || !safe;
    const bool mayRetry = query.plan.idempotent || safe;
    if (!shard.answered && mayRetry && shard.running.empty() && shard.attemptsSent < mostAttemptsPerShard
        && now < query.plan.deadline) {
        sendAttempt(query, service, shardIndex, effects, now, random);
    }
    effects.wakeAt = query.plan.deadline;
    finishIfStuck(query, service, effects, now);
}

query_effects onAnswer(query_state &query, Backend::service_state &service, std::uint64_t attempt,
                       const shard_answer &answer, Core::time_point now, Core::random_engine &random)
{
    query_effects effects;
    attempt_state ended;
    const std::optional<std::size_t> shardIndex = takeAttempt(query, attempt, ended);
    if (query.finished || !shardIndex) {
        return effects;
    }
    if (!belongsTo(query, *shardIndex, answer)) {
        Backend::recordFailure(service, ended.target.replica, Backend::attempt_failure::Faulty, now);
        endAttempt(query, service, *shardIndex, Backend::attempt_failure::Faulty, effects, now, random);
        return effects;
    }
    Backend::recordAnswer(service, ended.target.replica, answer.report, now - ended.sentAt, now);
    shard_state &shard = query.shards[*shardIndex];
    if (!shard.answered) {
        shard.answered = true;
        ++query.shardsAnswered;
        effects.answeredShards.push_back(*shardIndex);
        query.items.insert(query.items.end(), answer.items.begin(), answer.items.end());
    }
    effects.wakeAt = query.plan.deadline;
    finishIfStuck(query, service, effects, now);
    return effects;
}

query_effects onFailure(query_state &query, Backend::service_state &service, std::uint64_t attempt,
                        const Backend::failed_attempt &failed, Core::time_point now, Core::random_engine &random)
{
    query_effects effects;
    attempt_state ended;
    const std::optional<std::size_t> shardIndex = takeAttempt(query, attempt, ended);
    if (query.finished || !shardIndex) {
        return effects;
    }
    Backend::recordFailure(service, ended.target.replica, failed, now);
    endAttempt(query, service, *shardIndex, failed.failure, effects, now, random);
    return effects;
}

query_effects onTimer(query_state &query, Backend::service_state &service, Core::time_point now, Core::random_engine &)
{
    query_effects effects;
    if (query.finished) {
        return effects;
    }
    effects.wakeAt = query.plan.deadline;
    if (now >= query.plan.deadline) {
        finishQuery(query, service, effects, now);
    }
    return effects;
}
} // namespace Query
