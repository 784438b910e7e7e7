#include "Policy/QueryDriver.h"

#include "LibBackend/AttemptFailure.h"
#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/SlowStart.h"
#include "LibQuery/Attempts.h"
#include "LibQuery/CancelledAttemptEnd.h"
#include "LibQuery/QueryEvents.h"

#include <random>
#include <utility>

namespace Bench
{
/// Gives a daemon the records that it would get from its peers in a tier that has been running for long.
static void learnWarmth(Backend::service_state &service, Core::time_point now)
{
    std::vector<Backend::slow_start_record> records;
    for (const Backend::replica_state &replica : service.replicas) {
        records.push_back({replica.name, 0, 0, "1", Backend::completedSlowStartLevel});
    }
    Backend::importSlowStart(service, records, now);
}

query_driver::query_driver(const Configuration::configuration_document &document, driver_settings settings,
                           const fake_replica_settings &replicaSettings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_services(settings.daemons)
{
    std::uint64_t seed = settings.seed * 1000;
    for (const auto &[name, replica] : document.services.at("search").replicas) {
        m_replicas[name] = std::make_unique<fake_replica>(events, replica.shard, replicaSettings, ++seed);
    }
    apply(document);
    for (Backend::service_state &service : m_services) {
        learnWarmth(service, events.now());
    }
}

void query_driver::apply(const Configuration::configuration_document &document)
{
    m_document = document;
    for (Backend::service_state &service : m_services) {
        Backend::applyConfiguration(service, m_document, m_document.services.at("search"), events.now());
    }
}

void query_driver::applyGradually(const Configuration::configuration_document &document, Core::duration longest)
{
    m_document = document;
    for (std::size_t daemon = 0; daemon < m_services.size(); ++daemon) {
        events.after(longest * daemon / m_services.size(), [this, document, daemon] {
            Backend::applyConfiguration(m_services[daemon], document, document.services.at("search"), events.now());
        });
    }
}

void query_driver::offer(double queriesPerSecond, Core::time_point end)
{
    scheduleNext(queriesPerSecond, end);
}

void query_driver::scheduleNext(double queriesPerSecond, Core::time_point end)
{
    std::exponential_distribution<double> gap(queriesPerSecond);
    const Core::time_point next = events.now() + Core::fromSeconds(gap(m_random));
    if (next >= end) {
        return;
    }
    events.at(next, [this, queriesPerSecond, end] {
        submit(m_nextQuery % m_settings.daemons);
        scheduleNext(queriesPerSecond, end);
    });
}

Query::query_plan query_driver::makePlan()
{
    const Configuration::service_settings &service = m_document.services.at("search");
    Query::query_plan plan;
    plan.requestId = "q" + std::to_string(m_nextQuery);
    plan.service = "search";
    plan.route = "lookup";
    plan.team = "team";
    plan.snapshot = service.currentSnapshot;
    plan.version = service.version;
    for (const auto &[name, weight] : service.snapshots.at(service.currentSnapshot).shardWeights) {
        plan.shards.push_back({name, weight});
    }
    plan.deadline = events.now() + m_settings.deadline;
    plan.minimumCoverage = m_settings.minimumCoverage;
    const bool alert =
        m_settings.alertPart > 0.0 && std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < m_settings.alertPart;
    plan.priority = alert ? Configuration::priority_class::Alert : Configuration::priority_class::Ordinary;
    plan.idempotent = m_settings.idempotent;
    return plan;
}

Backend::service_state &query_driver::serviceOf(driven_query &query)
{
    return query.ownService ? *query.ownService : m_services[query.daemon];
}

void query_driver::submit(std::size_t daemon)
{
    const std::uint64_t number = m_nextQuery;
    driven_query &query = m_queries[number];
    query.state.plan = makePlan();
    ++m_nextQuery;
    query.daemon = daemon;
    query.startedAt = events.now();
    if (!m_settings.remembersReplicas) {
        query.ownService = std::make_unique<Backend::service_state>();
        Backend::applyConfiguration(*query.ownService, m_document, m_document.services.at("search"), events.now());
        learnWarmth(*query.ownService, events.now());
    }
    carryOut(number, Query::startQuery(query.state, serviceOf(query), events.now(), m_random));
}

void query_driver::carryOut(std::uint64_t number, Query::query_effects effects)
{
    for (const Query::send_attempt &attempt : effects.sends) {
        send(number, attempt);
        if (m_settings.warmsUp && m_settings.idempotent && Query::isFirstAttempt(attempt.attempt)) {
            sendWarmUp(m_queries.at(number), attempt.shard);
        }
    }
    for (const Query::cancel_attempt &attempt : effects.cancels) {
        cancel(number, attempt);
    }
    if (effects.finished) {
        finish(number, *effects.finished);
        return;
    }
    const auto found = m_queries.find(number);
    if (effects.wakeAt && found != m_queries.end()) {
        const std::uint64_t generation = ++found->second.timerGeneration;
        events.at(*effects.wakeAt, [this, number, generation] { wake(number, generation); });
    }
}

std::uint64_t query_driver::attemptKey(std::uint64_t number, std::uint64_t attempt)
{
    constexpr unsigned attemptBits = 24;
    return (number << attemptBits) | attempt;
}

Core::duration query_driver::delayTo(std::size_t daemon, const Backend::replica_state &replica) const
{
    constexpr std::size_t dataCentres = 3;
    const bool near = replica.settings.dataCentre == "dc" + std::to_string(daemon % dataCentres);
    return near ? m_settings.oneWayDelay : m_settings.farOneWayDelay;
}

void query_driver::send(std::uint64_t number, const Query::send_attempt &attempt)
{
    driven_query &query = m_queries.at(number);
    const Backend::replica_state &target = serviceOf(query).replicas[attempt.target.replica];
    ++shardRequests;
    firstRequests += Query::isFirstAttempt(attempt.attempt) ? 1 : 0;
    const std::uint64_t key = attemptKey(number, attempt.attempt);
    m_openAttempts.insert(key);
    events.at(attempt.attemptDeadline,
              [this, number, attempt] { fail(number, attempt.attempt, Backend::attempt_failure::ResponseTimeout); });
    connection_pool &pool = m_connections[{query.daemon, target.name}];
    const bool fresh = attempt.connection == Query::connection_choice::Fresh;
    const std::uint32_t idle = fresh ? 0 : pool.idle + pool.idleSilent;
    const bool usesSilent = idle > 0 && m_random() % idle < pool.idleSilent;
    if (usesSilent) {
        --pool.idleSilent; // The request never arrives; attemptDeadline condemns the connection.
        return;
    }
    const Core::duration delay = delayTo(query.daemon, target);
    const Core::duration connecting = idle > 0 ? Core::duration::zero() : m_settings.connectionCost;
    pool.idle -= idle > 0 ? 1 : 0;
    fake_request request;
    request.id = key;
    request.requestId = query.state.plan.requestId;
    request.snapshot = query.state.plan.snapshot;
    request.deadline = events.now() + attempt.timeRemaining;
    request.done = [this, number, attempt, delay, &pool](const fake_reply &reply) {
        events.after(delay, [this, number, attempt, reply, &pool] {
            const bool open = m_openAttempts.contains(attemptKey(number, attempt.attempt));
            pool.idle += open && reply.failure != Backend::attempt_failure::ConnectFailed ? 1 : 0;
            receive(number, attempt, reply);
        });
    };
    fake_replica &replica = *m_replicas.at(target.name);
    events.after(connecting + delay, [&replica, request = std::move(request)] { replica.accept(request); });
}

static Query::cancelled_attempt_end endOf(const fake_reply &reply)
{
    if (reply.cancelled) {
        return Query::cancelled_attempt_end::Stopped;
    }
    return reply.failure ? Query::cancelled_attempt_end::Failed : Query::cancelled_attempt_end::Answered;
}

Backend::failed_attempt query_driver::failedAttempt(const fake_reply &reply)
{
    const auto failure = reply.failure.value_or(Backend::attempt_failure::Cancelled);
    if (failure == Backend::attempt_failure::NotRun || failure == Backend::attempt_failure::SnapshotGone) {
        return {failure, reply.answer.report};
    }
    return failure;
}

void query_driver::receive(std::uint64_t number, const Query::send_attempt &attempt, const fake_reply &reply)
{
    const std::uint64_t key = attemptKey(number, attempt.attempt);
    if (m_openAttempts.erase(key) == 0) {
        return; // It timed out before, and its connection was closed.
    }
    if (endCancelled(key, endOf(reply))) {
        return;
    }
    driven_query &query = m_queries.at(number);
    if (reply.cancelled || reply.failure) {
        const Backend::failed_attempt failed = failedAttempt(reply);
        const auto failure = failed.failure;
        connectFailures += failure == Backend::attempt_failure::ConnectFailed ? 1 : 0;
        carryOut(number,
                 Query::onFailure(query.state, serviceOf(query), attempt.attempt, failed, events.now(), m_random));
        return;
    }
    if (reply.answer.requestId == query.state.plan.requestId && reply.answer.snapshot == query.state.plan.snapshot) {
        query.trulyAnswered.insert(attempt.shard);
    }
    carryOut(number,
             Query::onAnswer(query.state, serviceOf(query), attempt.attempt, reply.answer, events.now(), m_random));
}

bool query_driver::endCancelled(std::uint64_t key, Query::cancelled_attempt_end end)
{
    const auto found = m_cancelled.find(key);
    if (found == m_cancelled.end()) {
        return false;
    }
    const cancelled_attempt ended = found->second;
    m_cancelled.erase(found);
    if (m_settings.remembersReplicas) {
        Query::onCancelledAttemptEnded(m_services[ended.daemon], ended.attempt, end, events.now());
    }
    return true;
}

void query_driver::fail(std::uint64_t number, std::uint64_t attempt, Backend::attempt_failure failure)
{
    const std::uint64_t key = attemptKey(number, attempt);
    if (m_openAttempts.erase(key) == 0 || endCancelled(key, Query::cancelled_attempt_end::Failed)) {
        return;
    }
    driven_query &query = m_queries.at(number);
    carryOut(number, Query::onFailure(query.state, serviceOf(query), attempt, failure, events.now(), m_random));
}

void query_driver::cancel(std::uint64_t number, const Query::cancel_attempt &attempt)
{
    driven_query &query = m_queries.at(number);
    const Backend::replica_state &target = serviceOf(query).replicas[attempt.target.replica];
    fake_replica &replica = *m_replicas.at(target.name);
    const std::uint64_t key = attemptKey(number, attempt.attempt);
    m_cancelled[key] = {query.daemon, attempt};
    events.after(delayTo(query.daemon, target), [&replica, key] { replica.cancel(key); });
}

void query_driver::wake(std::uint64_t number, std::uint64_t generation)
{
    const auto found = m_queries.find(number);
    if (found == m_queries.end() || found->second.timerGeneration != generation) {
        return;
    }
    driven_query &query = found->second;
    carryOut(number, Query::onTimer(query.state, serviceOf(query), events.now(), m_random));
}

void query_driver::finish(std::uint64_t number, const Query::query_result &result)
{
    const auto found = m_queries.find(number);
    const driven_query &query = found->second;
    query_record record;
    record.startedAt = query.startedAt;
    record.latency = events.now() - query.startedAt;
    record.result = result.result;
    record.coverage = result.coverage;
    record.alert = query.state.plan.priority == Configuration::priority_class::Alert;
    record.shardRequests = result.shardRequests;
    double whole = 0.0;
    double answered = 0.0;
    for (std::size_t shard = 0; shard < query.state.plan.shards.size(); ++shard) {
        const double weight = query.state.plan.shards[shard].weight;
        whole += weight;
        answered += query.trulyAnswered.contains(shard) ? weight : 0.0;
    }
    record.trueCoverage = whole > 0.0 ? answered / whole : 0.0;
    records.push_back(record);
    m_queries.erase(found);
}

void query_driver::silenceConnections(double part)
{
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    for (auto &[place, pool] : m_connections) {
        const std::uint32_t open = pool.idle;
        for (std::uint32_t index = 0; index < open; ++index) {
            if (chance(m_random) < part) {
                --pool.idle;
                ++pool.idleSilent;
            }
        }
    }
}

double query_driver::extraLoad() const
{
    if (firstRequests == 0) {
        return 0.0;
    }
    return static_cast<double>(shardRequests - connectFailures) / static_cast<double>(firstRequests) - 1.0;
}
} // namespace Bench
