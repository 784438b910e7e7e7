#include "QueryWorker.h"

#include "DaemonState.h"
#include "LibBackend/SilenceBound.h"
#include "LibPlatform/BackendCodec.h"
#include "LibPlatform/CallOutcome.h"
#include "LibPlatform/HttpCall.h"
#include "LibPlatform/ShardCall.h"
#include "LibQuery/CancelledEnd.h"
#include "LibQuery/QueryEvents.h"
#include "LibQuery/ShardAnswer.h"
#include "RunningQuery.h"
#include "ServiceShard.h"

#include <algorithm>
#include <utility>
#include <variant>

static constexpr long connectionsPerReplica = 8;
static constexpr std::chrono::milliseconds longestSleep {100};

query_worker::query_worker(daemon_state &daemon, std::uint64_t seed)
    : m_daemon(daemon)
    , m_random(seed)
    , m_client(connectionsPerReplica)
    , m_thread([this] { run(); })
{
}

query_worker::~query_worker()
{
    stop();
}

void query_worker::submit(query_task task)
{
    {
        const std::scoped_lock lock(m_inboxMutex);
        m_inbox.push_back(std::move(task));
    }
    m_client.wakeUp();
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
        takeTasks();
        fireTimers();
        Core::duration wait = longestSleep;
        if (!m_timers.empty()) {
            wait = std::min<Core::duration>(wait, m_timers.top().at - std::chrono::steady_clock::now());
        }
        m_client.run(std::max(wait, Core::duration::zero()));
    }
}

void query_worker::takeTasks()
{
    std::vector<query_task> tasks;
    {
        const std::scoped_lock lock(m_inboxMutex);
        tasks.swap(m_inbox);
    }
    for (query_task &task : tasks) {
        startTask(std::move(task));
    }
}

void query_worker::startTask(query_task task)
{
    auto running = std::make_unique<running_query>();
    running->service = m_daemon.services.find(task.plan.service);
    running->state.plan = task.plan;
    running->task = std::move(task);
    const std::uint64_t number = m_nextQuery++;
    running_query &query = *running;
    m_queries[number] = std::move(running);
    std::unique_lock lock(query.service->mutex);
    Query::query_effects effects =
        Query::startQuery(query.state, query.service->state, std::chrono::steady_clock::now(), m_random);
    lock.unlock();
    carryOut(number, std::move(effects));
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
        carryOut(timer.query, std::move(effects));
    }
}

void query_worker::carryOut(std::uint64_t query, Query::query_effects effects)
{
    running_query &running = *m_queries.at(query);
    for (const Query::send_attempt &attempt : effects.sends) {
        send(query, running, attempt);
    }
    for (const Query::cancel_attempt &attempt : effects.cancels) {
        cancel(query, running, attempt);
    }
    if (effects.finished) {
        const std::unique_ptr<running_query> ended = std::move(m_queries.at(query));
        m_queries.erase(query);
        ended->task.done(std::move(*effects.finished));
        return;
    }
    if (effects.wakeAt) {
        m_timers.push({*effects.wakeAt, query, ++running.timerGeneration});
    }
}

static std::string attemptName(const running_query &running, std::uint64_t attempt)
{
    return running.state.plan.requestId + "." + std::to_string(attempt);
}

static Platform::shard_call makeCall(const running_query &running, const Query::send_attempt &attempt,
                                     std::string address)
{
    Platform::shard_call call;
    call.address = std::move(address);
    call.shard = running.state.plan.shards[attempt.shard].name;
    call.route = running.state.plan.route;
    call.requestId = running.state.plan.requestId;
    call.attemptId = attemptName(running, attempt.attempt);
    call.snapshot = running.state.plan.snapshot;
    call.text = running.task.request.text;
    call.traceParent = running.task.request.traceParent;
    call.timeRemaining = attempt.timeRemaining;
    call.idempotent = running.state.plan.idempotent;
    return call;
}

void query_worker::send(std::uint64_t query, running_query &running, const Query::send_attempt &attempt)
{
    std::string address;
    std::optional<Core::duration> oldestConnection;
    {
        const std::scoped_lock lock(running.service->mutex);
        const Backend::replica_state &replica = running.service->state.replicas[attempt.target.replica];
        address = replica.settings.address;
        oldestConnection = Backend::oldestUsableConnection(replica, std::chrono::steady_clock::now());
    }
    running.addresses[attempt.attempt] = address;
    Platform::http_call call = Platform::encodeShardCall(makeCall(running, attempt, std::move(address)));
    call.timeout = std::min<Core::duration>(attempt.timeRemaining, attempt.silentAt - std::chrono::steady_clock::now());
    call.oldestConnection = oldestConnection;
    if (attempt.connection == Query::connection_choice::Fresh) {
        call.reuse = Platform::connection_reuse::Forbidden;
    }
    const std::uint64_t number = attempt.attempt;
    running.calls[number] =
        m_client.start(std::move(call), [this, query, number](const Platform::call_outcome &outcome) {
            finishAttempt(query, number, outcome);
        });
}

/// Asks the replica to stop. The call itself goes on, so that its connection can be kept when the end arrives.
void query_worker::cancel(std::uint64_t query, running_query &running, const Query::cancel_attempt &attempt)
{
    Platform::shard_call call;
    call.address = running.addresses.at(attempt.attempt);
    call.attemptId = attemptName(running, attempt.attempt);
    m_cancelled[{query, attempt.attempt}] = {running.service, attempt};
    m_client.start(Platform::encodeCancelCall(call), [](const Platform::call_outcome &) {});
}

using decoded_answer = std::variant<Query::shard_answer, Backend::failed_attempt>;

static Query::cancelled_end endOf(const decoded_answer &decoded)
{
    if (std::holds_alternative<Query::shard_answer>(decoded)) {
        return Query::cancelled_end::Answered;
    }
    const bool stopped = std::get<Backend::failed_attempt>(decoded).failure == Backend::attempt_failure::Cancelled;
    return stopped ? Query::cancelled_end::Stopped : Query::cancelled_end::Failed;
}

void query_worker::finishAttempt(std::uint64_t query, std::uint64_t attempt, const Platform::call_outcome &outcome)
{
    decoded_answer decoded = Platform::decodeShardAnswer(outcome);
    const Core::time_point now = std::chrono::steady_clock::now();
    const auto cancelled = m_cancelled.find({query, attempt});
    if (cancelled != m_cancelled.end()) {
        const cancelled_call ended = cancelled->second;
        m_cancelled.erase(cancelled);
        const std::scoped_lock lock(ended.service->mutex);
        Query::onCancelledEnd(ended.service->state, ended.attempt, endOf(decoded), now);
        return;
    }
    const auto found = m_queries.find(query);
    if (found == m_queries.end()) {
        return;
    }
    running_query &running = *found->second;
    running.calls.erase(attempt);
    std::unique_lock lock(running.service->mutex);
    Backend::service_state &service = running.service->state;
    Query::query_effects effects = std::holds_alternative<Query::shard_answer>(decoded)
        ? Query::onAnswer(running.state, service, attempt, std::get<Query::shard_answer>(std::move(decoded)), now,
                          m_random)
        : Query::onFailure(running.state, service, attempt, std::get<Backend::failed_attempt>(decoded), now, m_random);
    lock.unlock();
    carryOut(query, std::move(effects));
}
