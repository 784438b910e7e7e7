#include "QueryWorker.h"

#include "DaemonState.h"
#include "LibBackend/ResponseTimeout.h"
#include "LibPlatform/BackendCodec.h"
#include "LibPlatform/CallOutcome.h"
#include "LibPlatform/HttpCall.h"
#include "LibPlatform/ShardCall.h"
#include "LibQuery/CancelledAttemptEnd.h"
#include "LibQuery/Outcome.h"
#include "LibQuery/PlanQuery.h"
#include "LibQuery/QueryEvents.h"
#include "LibQuery/ShardRequests.h"
#include "LibWire/BranchSummary.h"
#include "MakeShardCall.h"
#include "RunningQuery.h"
#include "ServiceShard.h"

#include <algorithm>
#include <optional>
#include <utility>

static constexpr long connectionsPerReplica = 8;
static constexpr std::chrono::milliseconds maximumWait {100};

query_worker::query_worker(daemon_state &daemon, std::uint64_t seed)
    : m_daemon(daemon)
    , m_random(seed)
    , m_attemptTag(std::to_string(m_random()))
    , m_client(connectionsPerReplica)
    , m_health(daemon, m_client)
    , m_warmUps(daemon, m_client)
    , m_thread([this] { run(); })
{
}

query_worker::~query_worker()
{
    stop();
}

void query_worker::post(std::function<void()> action)
{
    {
        const std::scoped_lock lock(m_postedMutex);
        m_posted.push_back(std::move(action));
    }
    m_client.wakeUp();
}

void query_worker::submit(query_task task)
{
    // std::function requires a copyable target, so a shared pointer holds the task.
    const auto shared = std::make_shared<query_task>(std::move(task));
    post([this, shared] { startTask(std::move(*shared)); });
}

void query_worker::stop()
{
    m_stopping = true;
    m_client.wakeUp();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void query_worker::run()
{
    while (!m_stopping || !m_queries.empty()) {
        runPosted();
        fireTimers();
        m_health.run(std::chrono::steady_clock::now());
        flushStreams();
        Core::duration wait = maximumWait;
        if (!m_timers.empty()) {
            wait = std::min<Core::duration>(wait, m_timers.top().at - std::chrono::steady_clock::now());
        }
        m_client.run(std::max(wait, Core::duration::zero()));
    }
    flushStreams();
}

void query_worker::runPosted()
{
    std::vector<std::function<void()>> posted;
    {
        const std::scoped_lock lock(m_postedMutex);
        posted.swap(m_posted);
    }
    for (const std::function<void()> &action : posted) {
        action();
    }
}

static void refuse(query_task &task)
{
    if (task.branch) {
        Wire::branch_answers answers;
        for (const Query::planned_shard &shard : task.plan.shards) {
            answers.failures.push_back({shard.name, Backend::attempt_failure::NotRun});
        }
        task.branch->send(std::move(answers));
        task.branch->end({});
        return;
    }
    Query::query_result result;
    result.requestId = task.plan.requestId;
    result.shardsTotal = static_cast<std::uint32_t>(task.plan.shards.size());
    result.reason = "service \"" + task.plan.service + "\" is not in force here yet";
    task.done(std::move(result));
}

void query_worker::startTask(query_task task)
{
    service_shard *service = m_daemon.services.find(task.plan.service);
    if (service == nullptr) {
        refuse(task);
        return;
    }
    auto running = std::make_unique<running_query>();
    const std::uint64_t number = m_nextQuery++;
    running->service = service;
    running->state.plan = task.plan;
    running->attemptPrefix = task.plan.requestId + "." + m_attemptTag + "." + std::to_string(number) + ".";
    running->trace = beginTrace(task, m_random);
    running->task = std::move(task);
    running_query &query = *running;
    m_queries[number] = std::move(running);
    if (query.task.branch) {
        query.task.branch->onCancel([this, number] { post([this, number] { abandon(number); }); });
    }
    std::unique_lock lock(service->mutex);
    Query::query_effects effects =
        Query::startQuery(query.state, service->state, std::chrono::steady_clock::now(), m_random);
    lock.unlock();
    applyEffects(number, std::move(effects));
}

void query_worker::fireTimers()
{
    const Core::time_point now = std::chrono::steady_clock::now();
    while (!m_timers.empty() && m_timers.top().at <= now) {
        const query_timer timer = m_timers.top();
        m_timers.pop();
        const auto found = m_queries.find(timer.query);
        if (found == m_queries.end() || found->second->timerGeneration != timer.generation) {
            continue;
        }
        running_query &query = *found->second;
        std::unique_lock lock(query.service->mutex);
        Query::query_effects effects = Query::onTimer(query.state, query.service->state, now, m_random);
        lock.unlock();
        applyEffects(timer.query, std::move(effects));
    }
}

void query_worker::applyEffects(std::uint64_t query, Query::query_effects effects)
{
    running_query &running = *m_queries.at(query);
    sendAll(query, running, effects.sends);
    for (const Query::cancel_attempt &attempt : effects.cancels) {
        cancel(query, running, attempt);
    }
    if (!effects.cancels.empty()) {
        cancelUnneededBranches(running);
    }
    streamFailures(query, running, effects);
    if (effects.restart) {
        restart(query);
    } else if (effects.finished) {
        finish(query, std::move(*effects.finished));
    } else if (effects.wakeAt) {
        m_timers.push({*effects.wakeAt, query, ++running.timerGeneration});
    }
}

/// Plans the query again with the latest snapshot; its request id and deadline stay the same.
void query_worker::restart(std::uint64_t query)
{
    const std::unique_ptr<running_query> ended = std::move(m_queries.at(query));
    m_queries.erase(query);
    query_task task = std::move(ended->task);
    task.earlierRequests += Query::shardRequestsOf(ended->state);
    const Query::query_plan &old = ended->state.plan;
    auto plan = Query::planQuery(*m_daemon.configuration.current(), task.request, old.version,
                                 std::chrono::steady_clock::now());
    if (!plan) {
        Query::query_result result;
        result.shardRequests = task.earlierRequests;
        result.requestId = old.requestId;
        result.result = Query::outcome::Unknown;
        result.reason = "the snapshot vanished, and the query could not be planned anew: " + plan.error().message;
        task.done(std::move(result));
        return;
    }
    task.plan = std::move(plan.value());
    task.plan.deadline = old.deadline;
    task.plan.restarted = true;
    startTask(std::move(task));
}

void query_worker::finish(std::uint64_t query, Query::query_result result)
{
    const std::unique_ptr<running_query> ended = std::move(m_queries.at(query));
    m_queries.erase(query);
    if (ended->task.branch) {
        ended->unsentAnswers.shardRequests = result.shardRequests;
        ended->task.branch->send(std::move(ended->unsentAnswers));
        if (ended->trace != nullptr) {
            endSpan(m_daemon.traces, std::move(*ended->trace->branch), Query::outcomeName(result.result));
        }
        Wire::branch_summary summary;
        summary.shardRequests = result.shardRequests;
        ended->task.branch->end(summary);
        return;
    }
    result.shardRequests += ended->task.earlierRequests;
    ended->task.done(std::move(result));
}

namespace
{
/// Address and connection limit of a replica that a request is about to be sent to.
struct replica_target {
    std::string address;
    std::optional<Core::duration> maximumConnectionAge;
};
} // namespace

/// Looks up the targets of all attempts under one lock. The entry of an attempt that goes to a branch stays empty.
static std::vector<replica_target> findReplicaTargets(service_shard &service,
                                                      const std::vector<Query::send_attempt> &sends)
{
    const Core::time_point now = std::chrono::steady_clock::now();
    std::vector<replica_target> replicaTargets(sends.size());
    const std::scoped_lock lock(service.mutex);
    for (std::size_t index = 0; index < sends.size(); ++index) {
        if (sends[index].target.peer.empty()) {
            const Backend::replica_state &replica = service.state.replicas[sends[index].target.replica];
            replicaTargets[index] = {replica.settings.address, Backend::maximumConnectionAge(replica, now)};
        }
    }
    return replicaTargets;
}

void query_worker::sendAll(std::uint64_t query, running_query &running, const std::vector<Query::send_attempt> &sends)
{
    if (sends.empty()) {
        return;
    }
    std::vector<replica_target> replicaTargets = findReplicaTargets(*running.service, sends);
    std::map<std::string, std::vector<const Query::send_attempt *>> byPeer;
    for (std::size_t index = 0; index < sends.size(); ++index) {
        if (sends[index].target.peer.empty()) {
            sendToReplica(query, running, sends[index], std::move(replicaTargets[index].address),
                          replicaTargets[index].maximumConnectionAge);
        } else {
            byPeer[sends[index].target.peer].push_back(&sends[index]);
        }
    }
    for (const auto &[peer, attempts] : byPeer) {
        startBranch(query, running, peer, attempts);
    }
    m_warmUps.copy(running, sends);
}

void query_worker::sendToReplica(std::uint64_t query, running_query &running, const Query::send_attempt &attempt,
                                 std::string address, std::optional<Core::duration> maximumConnectionAge)
{
    Platform::shard_call shardCall = makeShardCall(running, attempt.shard, std::move(address));
    shardCall.attemptId = running.attemptPrefix + std::to_string(attempt.attempt);
    shardCall.timeRemaining = attempt.timeRemaining;
    shardCall.traceParent =
        running.trace == nullptr ? running.task.request.traceParent : beginShardRequest(running, attempt, m_random);
    Platform::http_call call = Platform::encodeShardCall(shardCall);
    call.timeout =
        std::min<Core::duration>(attempt.timeRemaining, attempt.attemptDeadline - std::chrono::steady_clock::now());
    call.maximumConnectionAge = maximumConnectionAge;
    if (attempt.connection == Query::connection_choice::Fresh) {
        call.reuse = Platform::connection_reuse::Forbidden;
    }
    const std::uint64_t number = attempt.attempt;
    m_client.start(std::move(call), [this, query, number](const Platform::call_outcome &outcome) {
        endAttempt(query, number, Platform::decodeShardAnswer(outcome));
    });
}

/// Sends a cancel request to the replica. The original call continues, so that its connection can be reused once it
/// ends.
void query_worker::cancel(std::uint64_t query, running_query &running, const Query::cancel_attempt &attempt)
{
    m_cancelled[{query, attempt.attempt}] = {running.service, attempt, takeShardRequest(running, attempt.attempt)};
    if (!attempt.target.peer.empty()) {
        return; // A branch is cancelled as a whole once none of its shards is needed.
    }
    Platform::shard_call call;
    {
        const std::scoped_lock lock(running.service->mutex);
        call.address = running.service->state.replicas[attempt.target.replica].settings.address;
    }
    call.attemptId = running.attemptPrefix + std::to_string(attempt.attempt);
    m_client.start(Platform::encodeCancelCall(call), [](const Platform::call_outcome &) {});
}

static Query::cancelled_attempt_end toCancelledEnd(const attempt_end &end)
{
    if (std::holds_alternative<Query::shard_answer>(end)) {
        return Query::cancelled_attempt_end::Answered;
    }
    const bool stopped = std::get<Backend::failed_attempt>(end).failure == Backend::attempt_failure::Cancelled;
    return stopped ? Query::cancelled_attempt_end::Stopped : Query::cancelled_attempt_end::Failed;
}

bool query_worker::endCancelled(attempt_key key, const attempt_end &end)
{
    const auto found = m_cancelled.find(key);
    if (found == m_cancelled.end()) {
        return false;
    }
    cancelled_call ended = std::move(found->second);
    m_cancelled.erase(found);
    if (ended.span != nullptr) {
        ended.span->span.tags.push_back({"cancelled", "true"});
        endSpan(m_daemon.traces, std::move(*ended.span), outcomeName(end));
    }
    const std::scoped_lock lock(ended.service->mutex);
    Query::onCancelledAttemptEnded(ended.service->state, ended.attempt, toCancelledEnd(end),
                                   std::chrono::steady_clock::now());
    return true;
}

void query_worker::endAttempt(std::uint64_t query, std::uint64_t attempt, attempt_end end)
{
    if (endCancelled({query, attempt}, end)) {
        return;
    }
    const auto found = m_queries.find(query);
    if (found == m_queries.end()) {
        return;
    }
    running_query &running = *found->second;
    if (std::unique_ptr<open_span> span = takeShardRequest(running, attempt)) {
        endSpan(m_daemon.traces, std::move(*span), outcomeName(end));
    }
    const Core::time_point now = std::chrono::steady_clock::now();
    if (const auto *failed = std::get_if<Backend::failed_attempt>(&end)) {
        std::unique_lock lock(running.service->mutex);
        Query::query_effects effects =
            Query::onFailure(running.state, running.service->state, attempt, *failed, now, m_random);
        lock.unlock();
        applyEffects(query, std::move(effects));
        return;
    }
    auto &answer = std::get<Query::shard_answer>(end);
    Query::shard_answer answerForRoot;
    if (running.task.branch) {
        answerForRoot = answer;
    }
    std::unique_lock lock(running.service->mutex);
    Query::query_effects effects =
        Query::onAnswer(running.state, running.service->state, attempt, std::move(answer), now, m_random);
    lock.unlock();
    if (!effects.answeredShards.empty()) {
        // One response answers exactly one shard.
        streamAnswer(query, running, effects.answeredShards.front(), std::move(answerForRoot));
    }
    applyEffects(query, std::move(effects));
}
