#include "Simulation.h"

#include "Fixtures.h"

#include "LibForward/AttemptFailure.h"
#include "LibForward/LoadReport.h"
#include "LibForward/MakePlan.h"
#include "LibForward/PartialResult.h"
#include "LibForward/ReplicaEvents.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/RequestEvents.h"
#include "LibForward/RetryAfter.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Simulation
{
using namespace std::chrono_literals;

static constexpr Core::duration sameDataCentreLatency = 200us;
static constexpr Core::duration otherRegionLatency = 8ms;
static constexpr double serviceTimeSpread = 0.35; ///< Standard deviation of the logarithm of the service time.
/// An attempt is cancelled this long after its request has ended, as in the daemon.
static constexpr Core::duration cancellationDelay = 350ms;

simulation::simulation(std::shared_ptr<const Forward::traffic_configuration> configuration, std::size_t shards,
                       Core::duration meanServiceTime, std::uint64_t seed)
    : m_configuration(std::move(configuration))
    , m_meanServiceTime(meanServiceTime)
    , m_context(Fixtures::makeContext())
    , m_random(seed)
{
    const char *names[dataCentres] = {"a", "b", "c"};
    for (std::size_t shard = 0; shard < shards; ++shard) {
        const std::string service = "s" + std::to_string(shard);
        for (std::size_t dataCentre = 0; dataCentre < dataCentres; ++dataCentre) {
            const auto registration =
                Fixtures::replicaRegistration(service + "-" + names[dataCentre], service, names[dataCentre]);
            const auto key = Forward::applyRegistration(m_context.replicaTable, registration, m_now);
            simulated_replica &replica = m_replicas[key.value()];
            replica.oneWayLatency = dataCentre == 0 ? sameDataCentreLatency : otherRegionLatency;
        }
    }
}

simulated_replica &simulation::replica(std::size_t shard, std::size_t dataCentre)
{
    return m_replicas.at({shard, dataCentre});
}

void simulation::at(Core::time_point when, std::function<void()> work)
{
    m_events.push({when, m_order++, std::move(work)});
}

totals simulation::run(double requestsPerSecond, Core::duration length)
{
    m_totals = {};
    const Core::time_point end = m_now + length;
    std::exponential_distribution<double> gap(requestsPerSecond);
    for (Core::time_point when = m_now; when < end; when += Core::fromSeconds(gap(m_random))) {
        const std::size_t index = m_requests.size();
        m_requests.push_back(nullptr);
        at(when, [this, index]() {
            ++m_totals.requests;
            startRequest(index, {});
        });
    }
    while (!m_events.empty()) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.when;
        next.work();
    }
    return m_totals;
}

void simulation::enableCallerRetries()
{
    m_retryRefusedRequests = true;
}

void simulation::setRetrySlack(double slack)
{
    m_context.replicaTable.retryLimits.slack = slack;
}

void simulation::startRequest(std::size_t index, Core::duration waited)
{
    m_requests[index] = std::make_unique<Forward::request_state>();
    const Forward::route &matched = m_configuration->routes.front();
    const Core::duration left = matched.timeout - waited;
    m_requests[index]->plan = Forward::makePlan(m_configuration, matched, left, m_context, m_now);
    applyEffects(index, Forward::startRequest(*m_requests[index], m_context, m_now));
}

void simulation::applyEffects(std::size_t index, const Forward::request_effects &effects)
{
    for (const Forward::send_attempt &send : effects.sends) {
        ++m_totals.attempts;
        const arrival arrived {index, send.attempt, m_now};
        at(m_now + m_replicas.at(send.replica).oneWayLatency,
           [this, key = send.replica, arrived]() { arrive(key, arrived); });
    }
    if (effects.finished) {
        finish(index, *effects.finished);
    } else if (effects.wakeAt && !m_requests[index]->finished) {
        at(std::max(*effects.wakeAt, m_now),
           [this, index]() { applyEffects(index, Forward::onTimer(*m_requests[index], m_context, m_now)); });
    }
}

void simulation::arrive(const Forward::replica_key &key, const arrival &arrived)
{
    simulated_replica &replica = m_replicas.at(key);
    if (isUnresponsive(replica)) {
        // There is no response: the daemon cancels the attempt some time after its request has ended.
        const Core::duration timeout = m_configuration->routes.front().targetLatency + cancellationDelay;
        at(m_now + timeout, [this, key, arrived]() {
            Forward::recordFailure(m_context.replicaTable, key, Forward::attempt_failure::NoResponse, arrived.sentAt,
                                   m_now);
        });
        return;
    }
    const bool isRefusing = m_now >= replica.refusesFrom && m_now < replica.refusesUntil;
    if (isRefusing && std::bernoulli_distribution(replica.refusedFraction)(m_random)) {
        at(m_now + replica.oneWayLatency, [this, key, arrived]() { reply(key, arrived, false); });
    } else if (replica.running < replica.slots) {
        ++replica.running;
        work(key, arrived);
    } else if (replica.queue.size() < replica.maximumQueueLength) {
        replica.queue.push_back(arrived);
    } else {
        at(m_now + replica.oneWayLatency, [this, key, arrived]() { reply(key, arrived, false); });
    }
}

Core::duration simulation::remainingPause(const simulated_replica &replica) const
{
    if (replica.pauseInterval == Core::duration {}) {
        return {};
    }
    const Core::duration phase = (m_now.time_since_epoch() + replica.pausePhase) % replica.pauseInterval;
    return phase < replica.pauseDuration ? replica.pauseDuration - phase : Core::duration {};
}

bool simulation::isUnresponsive(const simulated_replica &replica) const
{
    return m_now >= replica.unresponsiveFrom && m_now < replica.unresponsiveUntil;
}

Core::duration simulation::drawServiceTime(const simulated_replica &replica)
{
    std::normal_distribution<double> logarithm(-serviceTimeSpread * serviceTimeSpread / 2, serviceTimeSpread);
    return Core::fromSeconds(Core::toSeconds(m_meanServiceTime) * replica.serviceTimeFactor
                             * std::exp(logarithm(m_random)));
}

void simulation::work(const Forward::replica_key &key, const arrival &arrived)
{
    simulated_replica &replica = m_replicas.at(key);
    const Core::duration took = remainingPause(replica) + drawServiceTime(replica);
    at(m_now + took, [this, key, arrived]() {
        simulated_replica &done = m_replicas.at(key);
        if (!isUnresponsive(done)) {
            at(m_now + done.oneWayLatency, [this, key, arrived]() { reply(key, arrived, true); });
        }
        if (done.queue.empty()) {
            --done.running;
            return;
        }
        const arrival next = done.queue.front();
        done.queue.pop_front();
        work(key, next);
    });
}

void simulation::reply(const Forward::replica_key &key, const arrival &arrived, bool isAnswer)
{
    const simulated_replica &replica = m_replicas.at(key);
    const auto waiting = static_cast<unsigned>(replica.queue.size());
    Forward::recordLoad(m_context.replicaTable, key, {replica.running, waiting, replica.slots, m_now});
    Forward::request_state &request = *m_requests[arrived.request];
    if (isAnswer) {
        Forward::recordAnswer(m_context.replicaTable, key, arrived.sentAt, m_now);
        if (!request.finished) {
            applyEffects(arrived.request, Forward::onAnswer(request, m_context, arrived.attempt, {"d", "r"}, m_now));
        }
        return;
    }
    const auto failure = Forward::attempt_failure::NotExecuted;
    Forward::recordFailure(m_context.replicaTable, key, failure, arrived.sentAt, m_now);
    if (!request.finished) {
        applyEffects(arrived.request, Forward::onFailure(request, m_context, arrived.attempt, failure, m_now));
    }
}

void simulation::finish(std::size_t index, Forward::request_outcome outcome)
{
    const Forward::request_state &request = *m_requests[index];
    const bool isRetry = request.plan.callerElapsedTime > Core::duration {};
    if (outcome == Forward::request_outcome::NotRun) {
        if (!m_retryRefusedRequests || isRetry) {
            ++m_totals.refused;
            return;
        }
        const Core::duration wait = Forward::randomRetryAfter(Forward::refusalCauseOf(request), m_context.random);
        at(m_now + wait, [this, index, wait]() { startRequest(index, wait); });
        return;
    }
    if (outcome != Forward::request_outcome::Answered) {
        ++m_totals.failed;
        return;
    }
    const double coverage =
        static_cast<double>(request.answeredSubrequests) / static_cast<double>(request.subrequests.size());
    const bool onTime = m_now - request.plan.receivedAt <= request.plan.matched->targetLatency;
    constexpr double lateScore = 0.1;
    const double score = !onTime ? lateScore : isRetry ? (1.0 + lateScore) / 2 : 1.0;
    m_totals.score += coverage * coverage * score;
    ++(onTime ? m_totals.onTime : m_totals.late);
}
} // namespace Simulation
