#include "LibForward/RequestEvents.h"

#include "LibForward/AttemptFailure.h"
#include "LibForward/AttemptKind.h"
#include "LibForward/ChooseForRequest.h"
#include "LibForward/ChooseReplica.h"
#include "LibForward/ForwardContext.h"
#include "LibForward/HedgeDelay.h"
#include "LibForward/ReplicaEvents.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/ReplicaNotices.h"
#include "LibForward/RequestState.h"
#include "LibForward/RetryEvents.h"
#include "LibForward/RolloutEvents.h"
#include "LibForward/TrafficConfiguration.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Forward
{
/// Unreachable replicas do not count as attempts, so their number is limited separately.
static constexpr unsigned maximumUnsentAttempts = 3;
/// A replica that has refused this often has no capacity in the time that callers wait.
static constexpr unsigned maximumRefusals = 8;
/// Delay until replicas that have all refused are asked again; grows with each further refusal.
static constexpr Core::duration initialRefusalDelay = std::chrono::milliseconds(12);
static constexpr Core::duration maximumRefusalDelay = std::chrono::milliseconds(80);
static constexpr double refusalDelayGrowth = 1.5;
/// A response sent later than this after its deadline is unlikely to reach the caller within the target latency.
static constexpr Core::duration lateTolerance = std::chrono::milliseconds(5);

/// Returns the rollout of the replica's service; null if there is none.
static rollout_state *rolloutOf(forward_context &context, const replica_key &key)
{
    if (context.rollouts.empty()) {
        return nullptr;
    }
    const auto rollout = context.rollouts.find(context.replicaTable.services[key.service]->name);
    return rollout == context.rollouts.end() ? nullptr : &rollout->second;
}

static void send(request_state &request, std::size_t subrequestIndex, std::size_t replica, attempt_kind kind,
                 forward_context &context, request_effects &effects, Core::time_point now)
{
    subrequest_state &subrequest = request.subrequests[subrequestIndex];
    const replica_key key {request.plan.services[subrequestIndex], replica};
    recordSent(context.replicaTable, key, now);
    recordColdRequest(replicaAt(context.replicaTable, key), now);
    if (rollout_state *rollout = rolloutOf(context, key)) {
        recordRolloutRequest(*rollout, sideOf(*rollout, replicaAt(context.replicaTable, key)));
    }
    const std::uint32_t attempt = request.nextAttempt++;
    subrequest.tried.push_back(replica);
    subrequest.running.push_back({attempt, key, now, kind});
    ++subrequest.sends;
    effects.sends.push_back({attempt, subrequestIndex, key, kind});
}

static void closeSubrequest(request_state &request, subrequest_state &subrequest, request_effects &effects)
{
    for (const attempt_state &attempt : subrequest.running) {
        effects.detached.push_back(attempt.id);
    }
    subrequest.running.clear();
    subrequest.open = false;
    --request.openSubrequests;
}

static concurrency_limit &concurrencyLimitFor(const request_state &request, forward_context &context)
{
    return context.concurrencyLimits[request.plan.services.front()];
}

static void finish(request_state &request, request_outcome requestOutcome, forward_context &context,
                   request_effects &effects, Core::time_point now)
{
    request.finished = true;
    if (request.countedByLimit) {
        const bool onTime =
            requestOutcome == request_outcome::Answered && now <= request.plan.partialResponseDeadline + lateTolerance;
        const bool lacksReplicas =
            std::any_of(request.subrequests.begin(), request.subrequests.end(),
                        [](const subrequest_state &subrequest) { return subrequest.sends == 0; });
        if (!onTime && lacksReplicas) {
            // The response is late because replicas are missing, not because of load.
            recordEndWithoutSample(concurrencyLimitFor(request, context));
        } else {
            recordEnd(concurrencyLimitFor(request, context), onTime, now);
        }
    }
    effects.finished = requestOutcome;
    effects.wakeAt.reset();
    for (subrequest_state &subrequest : request.subrequests) {
        if (subrequest.open) {
            request.mayHaveRun = request.mayHaveRun || !subrequest.running.empty();
            closeSubrequest(request, subrequest, effects);
        }
    }
}

static void scheduleWake(const request_state &request, request_effects &effects, Core::time_point now)
{
    Core::time_point wake = request.plan.callerDeadline;
    if (now < request.plan.partialResponseDeadline) {
        wake = std::min(wake, request.plan.partialResponseDeadline);
    }
    for (const subrequest_state &subrequest : request.subrequests) {
        for (const std::optional<Core::time_point> &due : {subrequest.hedgeAt, subrequest.retryAt}) {
            if (subrequest.open && due) {
                wake = std::min(wake, *due);
            }
        }
    }
    effects.wakeAt = wake;
}

static bool isRunning(const request_state &request)
{
    return std::any_of(request.subrequests.begin(), request.subrequests.end(),
                       [](const subrequest_state &subrequest) { return !subrequest.running.empty(); });
}

/// Ends the request if its outcome is decided or a deadline has passed; otherwise schedules the next timer.
static void finishOrScheduleWake(request_state &request, forward_context &context, request_effects &effects,
                                 Core::time_point now)
{
    if (request.finished) {
        return;
    }
    const bool hasRequiredCoverage = request.answeredSubrequests >= request.plan.requiredSubrequests;
    if (hasRequiredCoverage && (request.openSubrequests == 0 || now >= request.plan.partialResponseDeadline)) {
        finish(request, request_outcome::Answered, context, effects, now);
        return;
    }
    if (request.answeredSubrequests + request.openSubrequests < request.plan.requiredSubrequests) {
        const bool ran = request.mayHaveRun || isRunning(request) || request.answeredSubrequests > 0;
        finish(request, ran ? request_outcome::Failed : request_outcome::NotRun, context, effects, now);
        return;
    }
    if (now >= request.plan.callerDeadline) {
        const bool ran = request.mayHaveRun || isRunning(request) || request.answeredSubrequests > 0;
        finish(request, ran ? request_outcome::TimedOut : request_outcome::NotRun, context, effects, now);
        return;
    }
    scheduleWake(request, effects, now);
}

static void scheduleHedge(const request_state &request, subrequest_state &subrequest, const forward_context &context,
                          Core::time_point now)
{
    subrequest.hedgeAt.reset();
    const route &matched = *request.plan.matched;
    if (matched.retryPolicy != retry_policy::Idempotent || subrequest.sends - subrequest.refusals >= matched.attempts) {
        return;
    }
    subrequest.hedgeAt = now + hedgeDelay(matched, context);
}

request_effects startRequest(request_state &request, forward_context &context, Core::time_point now)
{
    request_effects effects;
    request.subrequests.resize(request.plan.services.size());
    request.openSubrequests = request.subrequests.size();
    const route &matched = *request.plan.matched;
    if (matched.isScatterGather()) {
        concurrency_limit &limit = concurrencyLimitFor(request, context);
        if (!mayStart(limit, matched.priority)) {
            request.openSubrequests = 0;
            request.subrequests.clear();
            finish(request, request_outcome::NotRun, context, effects, now);
            return effects;
        }
        request.countedByLimit = true;
        recordStart(limit);
    }
    for (const std::size_t service : request.plan.services) {
        recordFirstAttempt(context.replicaTable.services[service]->retryBudget, context.replicaTable.retryLimits, now);
    }
    const std::vector<std::optional<std::size_t>> chosen = chooseFirstReplicas(request, context, now);
    for (std::size_t index = 0; index < request.subrequests.size(); ++index) {
        if (!chosen[index]) {
            closeSubrequest(request, request.subrequests[index], effects);
        }
    }
    if (request.openSubrequests < request.plan.requiredSubrequests) {
        finish(request, request_outcome::NotRun, context, effects, now);
        return effects;
    }
    for (std::size_t index = 0; index < request.subrequests.size(); ++index) {
        if (chosen[index]) {
            send(request, index, *chosen[index], attempt_kind::First, context, effects, now);
            scheduleHedge(request, request.subrequests[index], context, now);
        }
    }
    finishOrScheduleWake(request, context, effects, now);
    return effects;
}

static std::pair<subrequest_state *, std::size_t> findSubrequest(request_state &request, std::uint32_t attempt)
{
    for (std::size_t index = 0; index < request.subrequests.size(); ++index) {
        for (const attempt_state &running : request.subrequests[index].running) {
            if (running.id == attempt) {
                return {&request.subrequests[index], index};
            }
        }
    }
    return {nullptr, 0};
}

static attempt_state endAttempt(subrequest_state &subrequest, std::uint32_t attempt)
{
    const auto found = std::find_if(subrequest.running.begin(), subrequest.running.end(),
                                    [&](const attempt_state &running) { return running.id == attempt; });
    const attempt_state ended = *found;
    subrequest.running.erase(found);
    return ended;
}

request_effects onAnswer(request_state &request, forward_context &context, std::uint32_t attempt, partial_result answer,
                         Core::time_point now)
{
    request_effects effects;
    const auto [subrequest, index] = findSubrequest(request, attempt);
    if (subrequest == nullptr) {
        return effects;
    }
    if (subrequest->sends == 1) {
        recordLatency(context.routeLatencies[request.plan.matched->name], now - subrequest->running.front().sentAt);
    }
    endAttempt(*subrequest, attempt);
    subrequest->answer = std::move(answer);
    ++request.answeredSubrequests;
    closeSubrequest(request, *subrequest, effects);
    finishOrScheduleWake(request, context, effects, now);
    return effects;
}

/// Whether another replica may be tried after the failure.
static bool mayRetry(const request_state &request, const subrequest_state &subrequest, attempt_failure failure)
{
    const route &matched = *request.plan.matched;
    const bool safe = matched.retryPolicy == retry_policy::Idempotent || guaranteesNotExecuted(failure);
    // A replica that refused did not execute the request, so that it does not count as one of the route's attempts.
    return safe && subrequest.sends - subrequest.refusals < matched.attempts && subrequest.refusals < maximumRefusals
        && subrequest.unsentAttempts < maximumUnsentAttempts;
}

/// Returns a random delay, so that requests that were refused together do not return together.
static Core::duration refusalDelay(unsigned refusals, Core::random_engine &random)
{
    const Core::duration grown = std::chrono::duration_cast<Core::duration>(
        initialRefusalDelay * std::pow(refusalDelayGrowth, static_cast<double>(refusals)));
    std::uniform_real_distribution<double> factor(0.5, 1.0);
    return std::chrono::duration_cast<Core::duration>(std::min(grown, maximumRefusalDelay) * factor(random));
}

/// Sends another attempt of the subrequest if a replica and the retry budget allow it. Returns whether a replica was
/// available.
static bool retry(request_state &request, std::size_t index, forward_context &context, request_effects &effects,
                  Core::time_point now)
{
    subrequest_state &subrequest = request.subrequests[index];
    const std::size_t service = request.plan.services[index];
    const std::optional<std::size_t> replica = chooseReplicaFor(request, index, attempt_kind::Retry, context, now);
    // If no attempt has reached the service so far, this one counts as the first and needs no retry budget.
    const bool isFirst = subrequest.sends == 0;
    if (replica
        && (isFirst
            || tryTakeRetry(context.replicaTable.services[service]->retryBudget, context.replicaTable.retryLimits,
                            attempt_kind::Retry, now))) {
        ++request.retries;
        send(request, index, *replica, isFirst ? attempt_kind::First : attempt_kind::Retry, context, effects, now);
        scheduleHedge(request, subrequest, context, now);
    }
    return replica.has_value();
}

request_effects onFailure(request_state &request, forward_context &context, std::uint32_t attempt,
                          attempt_failure failure, Core::time_point now)
{
    request_effects effects;
    const auto [subrequest, index] = findSubrequest(request, attempt);
    if (subrequest == nullptr) {
        return effects;
    }
    const attempt_state ended = endAttempt(*subrequest, attempt);
    if (isUnsent(failure)) {
        --subrequest->sends;
        ++subrequest->unsentAttempts;
        recordUnsentAttempt(context, ended.replica, ended.kind, ended.sentAt, now);
    }
    request.mayHaveRun = request.mayHaveRun || !guaranteesNotExecuted(failure);
    subrequest->refusals += failure == attempt_failure::NotExecuted ? 1 : 0;
    if (now < request.plan.callerDeadline && mayRetry(request, *subrequest, failure)) {
        const bool hasReplica = retry(request, index, context, effects, now);
        if (!hasReplica && subrequest->refusals > 0 && subrequest->running.empty()) {
            const Core::time_point retryAt = now + refusalDelay(subrequest->refusals, context.random);
            const service_state &service = *context.replicaTable.services[request.plan.services[index]];
            // Replicas that want no request until later cannot be asked again in time.
            if (hasAcceptingReplica(service, retryAt)) {
                subrequest->retryAt = retryAt;
            }
        }
    }
    if (subrequest->running.empty() && !subrequest->retryAt) {
        const bool isSingleService = !request.plan.matched->isScatterGather();
        closeSubrequest(request, *subrequest, effects);
        if (isSingleService && failure == attempt_failure::Error) {
            finish(request, request_outcome::ReplicaFailed, context, effects, now);
        }
    }
    finishOrScheduleWake(request, context, effects, now);
    return effects;
}

/// Asks the replicas of a subrequest again that have all refused.
static void askAgain(request_state &request, std::size_t index, forward_context &context, request_effects &effects,
                     Core::time_point now)
{
    subrequest_state &subrequest = request.subrequests[index];
    subrequest.retryAt.reset();
    subrequest.tried.clear();
    static_cast<void>(retry(request, index, context, effects, now));
    if (subrequest.running.empty()) {
        closeSubrequest(request, subrequest, effects);
    }
}

request_effects onTimer(request_state &request, forward_context &context, Core::time_point now)
{
    request_effects effects;
    if (request.finished) {
        return effects;
    }
    for (std::size_t index = 0; now < request.plan.callerDeadline && index < request.subrequests.size(); ++index) {
        subrequest_state &subrequest = request.subrequests[index];
        if (subrequest.open && subrequest.retryAt && *subrequest.retryAt <= now) {
            askAgain(request, index, context, effects, now);
        }
        if (!subrequest.open || !subrequest.hedgeAt || *subrequest.hedgeAt > now) {
            continue;
        }
        subrequest.hedgeAt.reset();
        const std::size_t service = request.plan.services[index];
        const std::optional<std::size_t> replica = chooseReplicaFor(request, index, attempt_kind::Hedge, context, now);
        const bool hasHedgeCapacity = !request.countedByLimit || mayHedge(concurrencyLimitFor(request, context));
        const bool shouldHedge =
            hasHedgeCapacity && replica && !isAvoided(context.replicaTable.services[service]->replicas[*replica], now);
        if (shouldHedge
            && tryTakeRetry(context.replicaTable.services[service]->retryBudget, context.replicaTable.retryLimits,
                            attempt_kind::Hedge, now)) {
            ++request.hedges;
            send(request, index, *replica, attempt_kind::Hedge, context, effects, now);
        }
    }
    finishOrScheduleWake(request, context, effects, now);
    return effects;
}

void recordUnsentAttempt(forward_context &context, const replica_key &replica, attempt_kind kind,
                         Core::time_point sentAt, Core::time_point now)
{
    if (rollout_state *rollout = rolloutOf(context, replica)) {
        recordUnsentRolloutRequest(*rollout, sideOf(*rollout, replicaAt(context.replicaTable, replica)));
    }
    if (kind != attempt_kind::First) {
        returnRetry(context.replicaTable.services[replica.service]->retryBudget, context.replicaTable.retryLimits,
                    sentAt, now);
    }
}

std::optional<std::chrono::milliseconds> timeLeftForAttempt(const request_state &request,
                                                            const replica_table &replicaTable, const replica_key &key,
                                                            std::string_view replicaId, Core::time_point deadline,
                                                            Core::time_point now)
{
    const replica_state &replica = replicaTable.services[key.service]->replicas[key.replica];
    const bool mayStillBeSent = acceptsRequests(replica, now) && replica.registration.id == replicaId;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    if (request.finished || !mayStillBeSent || left < std::chrono::milliseconds(1)) {
        return std::nullopt;
    }
    return left;
}

void abandonRequest(request_state &request, forward_context &context)
{
    request.finished = true;
    if (request.countedByLimit) {
        recordEndWithoutSample(concurrencyLimitFor(request, context));
    }
}
} // namespace Forward
