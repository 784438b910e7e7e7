#include "LibFront/RequestTask.h"

#include "LibForward/AttemptFailure.h"
#include "LibForward/ReplicaEvents.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/ReplicaNotices.h"
#include "LibForward/RetryAfter.h"
#include "LibForward/RolloutEvents.h"
#include "LibForward/SharedLimits.h"
#include "LibForward/TopRecords.h"
#include "LibForward/TrafficConfiguration.h"
#include "LibFront/ExchangeResult.h"
#include "LibFront/FrontEnvironment.h"
#include "LibFront/MergedAnswer.h"
#include "LibFront/ReplicaReport.h"
#include "LibFront/ReplyClass.h"
#include "LibFront/ResponseFault.h"
#include "LibFront/RetryAfter.h"

#include <algorithm>
#include <utility>

namespace Front
{
using namespace std::chrono_literals;

/// Time for a redundant attempt to end by itself. Most do, which keeps their connection reusable.
static constexpr Core::duration redundantAttemptGracePeriod = 350ms;
/// Time for an attempt to end by itself after the caller disconnects. Replicas stop within half a second of that.
static constexpr Core::duration abandonedAttemptGracePeriod = 250ms;

/// A part is stored whole until the response is merged, unless it is larger.
static constexpr std::size_t largePartBytes = 65'536;

request_task::request_task(front_environment &environment, Forward::request_plan plan, request_message &&request,
                           Core::duration callerTimeout, reply_function reply)
    : m_environment(environment)
    , m_requestId(request[environment.names.requestId])
    , m_forwardedRequest()
    , m_isHead(request.method() == boost::beast::http::verb::head)
    , m_callerDeadline(plan.receivedAt + std::min(callerTimeout, plan.matched->timeout))
    , m_reply(std::move(reply))
{
    m_forwardedRequest = makeForwardedRequest(std::move(request), environment.names);
    m_request.plan = std::move(plan);
}

void request_task::start(Core::time_point now)
{
    ++m_environment.counters.requests;
    applyEffects(Forward::startRequest(m_request, m_environment.forward, now), now);
}

void request_task::applyEffects(const Forward::request_effects &effects, Core::time_point now)
{
    for (const Forward::send_attempt &send : effects.sends) {
        sendAttempt(send, now);
    }
    if (effects.finished) {
        finish(*effects.finished, now);
        return;
    }
    if (effects.wakeAt && !m_request.finished) {
        scheduleWakeup(*effects.wakeAt);
    }
}

static std::size_t connectionShare(const Forward::forward_context &context,
                                   const Forward::traffic_configuration &trafficConfiguration,
                                   const std::string &service)
{
    const auto policy = trafficConfiguration.services.find(service);
    const double accepted = policy == trafficConfiguration.services.end() ? 1.0 : policy->second.maxConnections;
    return Forward::connectionsPerReplica(context.replicaTable, accepted);
}

void request_task::sendAttempt(const Forward::send_attempt &send, Core::time_point now)
{
    Forward::forward_context &context = m_environment.forward;
    const Forward::replica_registration &registration =
        Forward::replicaAt(context.replicaTable, send.replica).registration;
    replica_exchange exchange;
    exchange.makeText = [self = shared_from_this(), key = send.replica,
                         instance = registration.id](Core::time_point at) {
        return self->serializeAttemptAt(key, instance, at);
    };
    exchange.requestId = m_requestId;
    exchange.isHead = m_isHead;
    exchange.needsFreshConnection = m_request.plan.matched->retryPolicy == Forward::retry_policy::AtMostOnce;
    exchange.onComplete = [self = shared_from_this(), attempt = send.attempt](exchange_result exchangeResult) {
        self->onComplete(attempt, std::move(exchangeResult));
    };
    ++m_environment.counters.attempts;
    open_attempt &open = m_openAttempts[send.attempt];
    open = {send.replica, 0, now, send.kind};
    const std::size_t connections = connectionShare(context, *m_request.plan.configuration, registration.service);
    open.ticket =
        m_environment.connections.submit(send.replica, registration.address, connections, std::move(exchange));
}

std::optional<std::string> request_task::serializeAttemptAt(const Forward::replica_key &key,
                                                            const std::string &instance, Core::time_point now) const
{
    const auto left = Forward::timeLeftForAttempt(m_request, m_environment.forward.replicaTable, key, instance,
                                                  m_callerDeadline, now);
    return left ? std::optional(serializeAttempt(m_forwardedRequest, m_environment.names, left->count(), instance))
                : std::nullopt;
}

void request_task::onComplete(std::uint32_t attempt, exchange_result exchangeResult)
{
    const auto found = m_openAttempts.find(attempt);
    if (found == m_openAttempts.end()) {
        return;
    }
    const open_attempt sent = found->second;
    m_openAttempts.erase(found);
    const Core::time_point now = std::chrono::steady_clock::now();
    if (exchangeResult.reply) {
        handleReply(attempt, sent, std::move(*exchangeResult.reply), now);
        return;
    }
    if (exchangeResult.fault) {
        recordInvalidResponse(sent, *exchangeResult.fault);
    }
    handleFailure(attempt, sent, exchangeResult.failure, now);
}

void request_task::handleReply(std::uint32_t attempt, const open_attempt &sent, reply_message &&reply,
                               Core::time_point now)
{
    const reply_class kind = classifyReply(reply, m_environment.names, kindOf(*m_request.plan.matched));
    recordReplicaReport(m_environment, sent.replica, reply, kind, now);
    if (kind != reply_class::Success) {
        const Forward::attempt_failure failure = failureOf(kind);
        if (kind == reply_class::Failure && !m_request.finished) {
            keepFailedReply(sent, std::move(reply));
        }
        if (kind == reply_class::Malformed) {
            recordInvalidResponse(sent, response_fault::Content);
        }
        handleFailure(attempt, sent, failure, now);
        return;
    }
    recordRolloutOutcome(sent, false, now);
    recordLatency(m_environment.counters.attemptTimes[m_request.plan.matched->name], now - sent.sentAt);
    Forward::recordAnswer(m_environment.forward.replicaTable, sent.replica, sent.sentAt, now);
    if (m_request.finished) {
        return;
    }
    Forward::partial_result partialResult;
    if (m_request.plan.matched->isScatterGather()) {
        partialResult.digest = std::string(reply[m_environment.names.digest]);
        partialResult.records = std::move(reply.body());
        if (partialResult.records.size() > largePartBytes) {
            // Only the highest records can be part of the merged response.
            const std::string_view records = partialResult.records;
            partialResult.records = Forward::selectTopRecords({&records, 1}, m_request.plan.matched->topRecords);
        }
    } else {
        m_singleReply = std::move(reply);
    }
    applyEffects(Forward::onAnswer(m_request, m_environment.forward, attempt, std::move(partialResult), now), now);
}

void request_task::keepFailedReply(const open_attempt &sent, reply_message &&reply)
{
    if (mayForward(reply, kindOf(*m_request.plan.matched))) {
        m_singleReply = std::move(reply);
        return;
    }
    m_environment.log.write(
        "replica_refusal_unproven",
        {{"request", m_requestId},
         {"replica", Forward::replicaAt(m_environment.forward.replicaTable, sent.replica).registration.id},
         {"status", reply.result_int()}});
}

void request_task::handleFailure(std::uint32_t attempt, const open_attempt &sent, Forward::attempt_failure failure,
                                 Core::time_point now)
{
    if (!Forward::guaranteesNotExecuted(failure)) {
        recordRolloutOutcome(sent, true, now);
    }
    Forward::recordFailure(m_environment.forward.replicaTable, sent.replica, failure, sent.sentAt, now);
    if (failure == Forward::attempt_failure::Withdrawn) {
        ++m_environment.counters.withdrawn;
    }
    if (!m_request.finished) {
        applyEffects(Forward::onFailure(m_request, m_environment.forward, attempt, failure, now), now);
    } else if (Forward::isUnsent(failure)) {
        Forward::recordUnsentAttempt(m_environment.forward, sent.replica, sent.kind, sent.sentAt, now);
    }
}

void request_task::recordInvalidResponse(const open_attempt &sent, response_fault fault)
{
    ++m_environment.counters.invalidResponses;
    const Forward::replica_registration &registration =
        Forward::replicaAt(m_environment.forward.replicaTable, sent.replica).registration;
    m_environment.log.write("replica_response_invalid",
                            {{"request", m_requestId},
                             {"replica", registration.id},
                             {"service", registration.service},
                             {"fault", responseFaultName(fault)}});
}

void request_task::recordRolloutOutcome(const open_attempt &sent, bool failed, Core::time_point now)
{
    Forward::forward_context &context = m_environment.forward;
    const auto rollout = context.rollouts.find(context.replicaTable.services[sent.replica.service]->name);
    if (rollout == context.rollouts.end()) {
        return;
    }
    const auto side = Forward::sideOf(rollout->second, Forward::replicaAt(context.replicaTable, sent.replica));
    Forward::recordRolloutAnswer(rollout->second, side, m_request.plan.matched->name, failed, now - sent.sentAt,
                                 m_environment.wallTimeAt(now));
}

void request_task::scheduleWakeup(Core::time_point when)
{
    if (m_wakeupTimer) {
        if ((*m_wakeupTimer)->first == when) {
            return;
        }
        m_environment.timers.cancel(*m_wakeupTimer);
    }
    m_wakeupTimer = m_environment.timers.schedule(when, [self = shared_from_this()](Core::time_point now) {
        self->m_wakeupTimer.reset();
        self->applyEffects(Forward::onTimer(self->m_request, self->m_environment.forward, now), now);
    });
}

void request_task::recordWithdrawal(const open_attempt &open, Core::time_point now)
{
    Forward::recordFailure(m_environment.forward.replicaTable, open.replica, Forward::attempt_failure::Withdrawn,
                           open.sentAt, now);
    Forward::recordUnsentAttempt(m_environment.forward, open.replica, open.kind, open.sentAt, now);
}

void request_task::cancelAfterDelay(Core::duration delay)
{
    const Core::time_point now = std::chrono::steady_clock::now();
    std::erase_if(m_openAttempts, [&](const auto &entry) {
        const open_attempt &open = entry.second;
        if (!m_environment.connections.cancelWaiting(open.replica, open.ticket)) {
            return false;
        }
        recordWithdrawal(open, now);
        return true;
    });
    if (m_openAttempts.empty()) {
        return;
    }
    m_environment.timers.schedule(now + delay,
                                  [self = shared_from_this()](Core::time_point now) { self->cancelOpenAttempts(now); });
}

void request_task::cancelOpenAttempts(Core::time_point now)
{
    for (const auto &[attempt, open] : m_openAttempts) {
        if (m_environment.connections.cancel(open.replica, open.ticket)) {
            Forward::recordFailure(m_environment.forward.replicaTable, open.replica,
                                   Forward::attempt_failure::NoResponse, open.sentAt, now);
        } else {
            recordWithdrawal(open, now);
        }
    }
    m_openAttempts.clear();
}

void request_task::abandon()
{
    m_abandoned = true;
    if (m_request.finished) {
        return;
    }
    ++m_environment.counters.abandoned;
    Forward::abandonRequest(m_request, m_environment.forward);
    m_reply = nullptr;
    if (m_wakeupTimer) {
        m_environment.timers.cancel(*std::exchange(m_wakeupTimer, std::nullopt));
    }
    cancelAfterDelay(abandonedAttemptGracePeriod);
}

void request_task::finish(Forward::request_outcome outcome, Core::time_point now)
{
    if (m_wakeupTimer) {
        m_environment.timers.cancel(*std::exchange(m_wakeupTimer, std::nullopt));
    }
    recordOutcome(outcome, now);
    const reply_function reply = std::exchange(m_reply, nullptr);
    if (reply) {
        reply(makeAnswer(outcome));
    }
    cancelAfterDelay(redundantAttemptGracePeriod);
}

answer request_task::makeAnswer(Forward::request_outcome outcome)
{
    switch (outcome) {
    case Forward::request_outcome::Answered:
        if (m_request.plan.matched->isScatterGather()) {
            return mergedAnswer(m_request, m_requestId, m_environment.names);
        }
        return makeForwardedAnswer(std::move(*m_singleReply));
    case Forward::request_outcome::ReplicaFailed:
        if (m_singleReply) {
            return makeForwardedAnswer(std::move(*m_singleReply));
        }
        return errorAnswer(502, "the replica has not proved that it did not run the request");
    case Forward::request_outcome::NotRun: {
        answer refusal = errorAnswer(503, "no replica can take the request now; it has not run");
        const Core::duration delay =
            Forward::retryAfterFor(m_request, m_environment.forward, std::chrono::steady_clock::now());
        refusal.headers.emplace_back("Retry-After", retryAfterText(delay));
        return refusal;
    }
    case Forward::request_outcome::Failed:
        return errorAnswer(502, "replicas failed to answer");
    case Forward::request_outcome::TimedOut:
        return errorAnswer(504, "replicas did not answer in time");
    }
    return errorAnswer(500, "unknown verdict");
}

void request_task::recordOutcome(Forward::request_outcome outcome, Core::time_point now)
{
    front_counters &counters = m_environment.counters;
    counters.hedges += m_request.hedges;
    counters.retries += m_request.retries;
    const Core::duration elapsed = now - m_request.plan.receivedAt;
    const bool exceedsTargetLatency = elapsed > m_request.plan.matched->targetLatency;
    const std::size_t missing = m_request.subrequests.size() - m_request.answeredSubrequests;
    switch (outcome) {
    case Forward::request_outcome::Answered:
        ++counters.answered;
        counters.answeredLate += exceedsTargetLatency ? 1 : 0;
        counters.answeredPartially += missing > 0 ? 1 : 0;
        recordLatency(counters.answerTimes[m_request.plan.matched->name], elapsed);
        break;
    case Forward::request_outcome::NotRun:
        ++counters.notRun;
        break;
    case Forward::request_outcome::TimedOut:
        ++counters.timedOut;
        break;
    case Forward::request_outcome::ReplicaFailed:
    case Forward::request_outcome::Failed:
        ++counters.failed;
        break;
    }
    if (outcome == Forward::request_outcome::Answered && !exceedsTargetLatency && missing == 0) {
        return; // Complete and timely responses are counted but not logged.
    }
    boost::json::object fields {
        {"request", m_requestId},
        {"route", m_request.plan.matched->name},
        {"configuration", m_request.plan.configuration->version},
        {"outcome", Forward::requestOutcomeName(outcome)},
        {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()},
        {"parts", m_request.answeredSubrequests},
        {"missing", missing},
        {"hedges", m_request.hedges},
        {"retries", m_request.retries},
    };
    if (missing > 0) {
        boost::json::array missingServices;
        boost::json::array limitedServices;
        for (std::size_t index = 0; index < m_request.subrequests.size(); ++index) {
            const Forward::subrequest_state &subrequest = m_request.subrequests[index];
            const std::string &name = m_environment.forward.replicaTable.services[m_request.plan.services[index]]->name;
            if (!subrequest.answer) {
                missingServices.emplace_back(name);
            }
            if (subrequest.isLimited) {
                limitedServices.emplace_back(name);
            }
        }
        fields["lacking"] = std::move(missingServices);
        if (!limitedServices.empty()) {
            fields["limited"] = std::move(limitedServices);
        }
        if (const auto until = Forward::quietUntil(m_request, m_environment.forward.replicaTable, now)) {
            fields["quiet_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*until - now).count();
        }
    }
    m_environment.log.write("request", std::move(fields));
}
} // namespace Front
