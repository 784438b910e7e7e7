#include "LibForward/RequestEvents.h"

#include "LibForward/AttemptFailure.h"
#include "LibForward/ChoiceFilter.h"
#include "LibForward/ChooseReplica.h"
#include "LibForward/ForwardContext.h"
#include "LibForward/HedgeDelay.h"
#include "LibForward/ReplicaEvents.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/RequestState.h"
#include "LibForward/RetryEvents.h"
#include "LibForward/RolloutEvents.h"
#include "LibForward/TrafficConfiguration.h"

#include <algorithm>

namespace Forward
{
/// Unreachable replicas do not count as attempts, so their number is limited separately.
static constexpr unsigned mostUnsent = 3;
/// A response sent later than this after its deadline is unlikely to reach the caller within the target latency.
static constexpr Core::duration lateTolerance = std::chrono::milliseconds(5);

static const service_policy *policyOf(const request_plan &plan, const service_state &service)
{
    const auto found = plan.configuration->services.find(service.name);
    return found == plan.configuration->services.end() ? nullptr : &found->second;
}

static std::optional<std::size_t> chooseFor(const request_state &request, const part_state &part,
                                            forward_context &context, std::size_t service, Core::time_point now)
{
    const service_state &state = *context.book.services[service];
    choice_filter filter {.policy = policyOf(request.plan, state),
                          .allowedRegions = request.plan.matched->allowedRegions,
                          .tried = {part.tried.data(), part.tried.size()}};
    const auto rollout = context.rollouts.find(state.name);
    if (rollout == context.rollouts.end()) {
        return chooseReplica(context.book, service, filter, now, context.random);
    }
    filter.rollout = &rollout->second;
    filter.side = drawSide(rollout->second, context.random);
    const auto chosen = chooseReplica(context.book, service, filter, now, context.random);
    const bool isFinal = rollout->second.outcome == rollout_outcome::RolledBack;
    if (chosen || isFinal) {
        return chosen;
    }
    // Either side may have no replicas yet, or none left.
    filter.side = filter.side == Rollout::version_side::New ? Rollout::version_side::Old : Rollout::version_side::New;
    const bool mayTurn = filter.side == Rollout::version_side::Old || rollout->second.share >= 1.0;
    return mayTurn ? chooseReplica(context.book, service, filter, now, context.random) : std::nullopt;
}

static void send(request_state &request, std::size_t partIndex, std::size_t replica, forward_context &context,
                 request_effects &effects, Core::time_point now)
{
    part_state &part = request.parts[partIndex];
    const replica_key key {request.plan.services[partIndex], replica};
    recordSent(context.book, key, now);
    recordColdRequest(replicaAt(context.book, key), now);
    const std::uint32_t attempt = request.nextAttempt++;
    part.tried.push_back(replica);
    part.running.push_back({attempt, key, now});
    ++part.sends;
    effects.sends.push_back({attempt, partIndex, key});
}

static void closePart(request_state &request, part_state &part, request_effects &effects)
{
    for (const attempt_state &attempt : part.running) {
        effects.detached.push_back(attempt.id);
    }
    part.running.clear();
    part.open = false;
    --request.openParts;
}

static load_limit &limitOf(const request_state &request, forward_context &context)
{
    return context.loadLimits[request.plan.services.front()];
}

static void finish(request_state &request, request_verdict verdict, forward_context &context, request_effects &effects,
                   Core::time_point now)
{
    request.finished = true;
    if (request.counted) {
        const bool inTime = verdict == request_verdict::Answered && now <= request.plan.answerBy + lateTolerance;
        const bool lacksReplicas = std::any_of(request.parts.begin(), request.parts.end(),
                                               [](const part_state &part) { return part.sends == 0; });
        if (!inTime && lacksReplicas) {
            recordLeft(limitOf(request, context)); // Late because replicas are missing, not because of load.
        } else {
            recordEnd(limitOf(request, context), inTime, now);
        }
    }
    effects.finished = verdict;
    effects.wakeAt.reset();
    for (part_state &part : request.parts) {
        if (part.open) {
            request.mayHaveRun = request.mayHaveRun || !part.running.empty();
            closePart(request, part, effects);
        }
    }
}

static void scheduleWake(const request_state &request, request_effects &effects, Core::time_point now)
{
    Core::time_point wake = request.plan.giveUpAt;
    if (now < request.plan.answerBy) {
        wake = std::min(wake, request.plan.answerBy);
    }
    for (const part_state &part : request.parts) {
        if (part.open && part.hedgeAt) {
            wake = std::min(wake, *part.hedgeAt);
        }
    }
    effects.wakeAt = wake;
}

/// Ends the request if its outcome is decided or a deadline has passed; otherwise schedules the next timer.
static void settle(request_state &request, forward_context &context, request_effects &effects, Core::time_point now)
{
    if (request.finished) {
        return;
    }
    const bool enough = request.answeredParts >= request.plan.neededParts;
    if (enough && (request.openParts == 0 || now >= request.plan.answerBy)) {
        finish(request, request_verdict::Answered, context, effects, now);
        return;
    }
    if (request.answeredParts + request.openParts < request.plan.neededParts) {
        const bool running = std::any_of(request.parts.begin(), request.parts.end(),
                                         [](const part_state &part) { return !part.running.empty(); });
        const bool ran = request.mayHaveRun || running || request.answeredParts > 0;
        finish(request, ran ? request_verdict::Failed : request_verdict::NotRun, context, effects, now);
        return;
    }
    if (now >= request.plan.giveUpAt) {
        finish(request, request_verdict::TimedOut, context, effects, now);
        return;
    }
    scheduleWake(request, effects, now);
}

static void planHedge(const request_state &request, part_state &part, const forward_context &context,
                      Core::time_point now)
{
    part.hedgeAt.reset();
    const route &matched = *request.plan.matched;
    if (matched.repeat != repeat_policy::Idempotent || part.sends >= matched.attempts) {
        return;
    }
    part.hedgeAt = now + hedgeDelay(matched, context);
}

request_effects startRequest(request_state &request, forward_context &context, Core::time_point now)
{
    request_effects effects;
    request.parts.resize(request.plan.services.size());
    request.openParts = request.parts.size();
    const route &matched = *request.plan.matched;
    if (matched.gathers()) {
        load_limit &limit = limitOf(request, context);
        if (!mayStart(limit, matched.priority)) {
            request.openParts = 0;
            request.parts.clear();
            finish(request, request_verdict::NotRun, context, effects, now);
            return effects;
        }
        request.counted = true;
        recordStart(limit);
    }
    for (std::size_t index = 0; index < request.parts.size(); ++index) {
        part_state &part = request.parts[index];
        const std::size_t service = request.plan.services[index];
        recordFirst(context.book.services[service]->repeats, context.book.repeatLimits, now);
        const std::optional<std::size_t> replica = chooseFor(request, part, context, service, now);
        const bool isHopeless = replica && seemsDead(context.book.services[service]->replicas[*replica], now)
            && request.openParts > request.plan.neededParts;
        if (!replica || isHopeless) {
            closePart(request, part, effects);
            continue;
        }
        send(request, index, *replica, context, effects, now);
        planHedge(request, part, context, now);
    }
    settle(request, context, effects, now);
    return effects;
}

static std::pair<part_state *, std::size_t> findPart(request_state &request, std::uint32_t attempt)
{
    for (std::size_t index = 0; index < request.parts.size(); ++index) {
        for (const attempt_state &running : request.parts[index].running) {
            if (running.id == attempt) {
                return {&request.parts[index], index};
            }
        }
    }
    return {nullptr, 0};
}

static void endAttempt(part_state &part, std::uint32_t attempt)
{
    const auto found = std::find_if(part.running.begin(), part.running.end(),
                                    [&](const attempt_state &running) { return running.id == attempt; });
    part.running.erase(found);
}

request_effects onAnswer(request_state &request, forward_context &context, std::uint32_t attempt, part_answer answer,
                         Core::time_point now)
{
    request_effects effects;
    const auto [part, index] = findPart(request, attempt);
    if (part == nullptr) {
        return effects;
    }
    if (part->sends == 1) {
        recordLatency(context.routeLatencies[request.plan.matched->name], now - part->running.front().sentAt);
    }
    endAttempt(*part, attempt);
    part->answer = std::move(answer);
    ++request.answeredParts;
    closePart(request, *part, effects);
    settle(request, context, effects, now);
    return effects;
}

/// Whether another replica may be tried after the failure.
static bool mayRetry(const request_state &request, const part_state &part, attempt_failure failure)
{
    const route &matched = *request.plan.matched;
    const bool safe = matched.repeat == repeat_policy::Idempotent || provesNotRun(failure);
    return safe && part.sends < matched.attempts && part.unsent < mostUnsent;
}

request_effects onFailure(request_state &request, forward_context &context, std::uint32_t attempt,
                          attempt_failure failure, Core::time_point now)
{
    request_effects effects;
    const auto [part, index] = findPart(request, attempt);
    if (part == nullptr) {
        return effects;
    }
    endAttempt(*part, attempt);
    if (failure == attempt_failure::NotSent) {
        --part->sends;
        ++part->unsent;
    }
    request.mayHaveRun = request.mayHaveRun || !provesNotRun(failure);
    if (mayRetry(request, *part, failure)) {
        const std::size_t service = request.plan.services[index];
        const std::optional<std::size_t> replica = chooseFor(request, *part, context, service, now);
        // If no attempt has reached the service so far, this one counts as the first and needs no retry budget.
        const bool isFirst = part->sends == 0;
        if (replica
            && (isFirst || takeRepeat(context.book.services[service]->repeats, context.book.repeatLimits, now))) {
            ++request.retries;
            send(request, index, *replica, context, effects, now);
            planHedge(request, *part, context, now);
        }
    }
    if (part->running.empty()) {
        const bool single = !request.plan.matched->gathers();
        closePart(request, *part, effects);
        if (single && failure == attempt_failure::Error) {
            finish(request, request_verdict::ReplicaFailed, context, effects, now);
        }
    }
    settle(request, context, effects, now);
    return effects;
}

request_effects onTimer(request_state &request, forward_context &context, Core::time_point now)
{
    request_effects effects;
    if (request.finished) {
        return effects;
    }
    for (std::size_t index = 0; index < request.parts.size(); ++index) {
        part_state &part = request.parts[index];
        if (!part.open || !part.hedgeAt || *part.hedgeAt > now) {
            continue;
        }
        part.hedgeAt.reset();
        const std::size_t service = request.plan.services[index];
        const std::optional<std::size_t> replica = chooseFor(request, part, context, service, now);
        const bool hasRoom = !request.counted || mayHedge(limitOf(request, context));
        const bool useful = hasRoom && replica && !isAvoided(context.book.services[service]->replicas[*replica], now);
        if (useful && takeRepeat(context.book.services[service]->repeats, context.book.repeatLimits, now)) {
            ++request.hedges;
            send(request, index, *replica, context, effects, now);
        }
    }
    settle(request, context, effects, now);
    return effects;
}

void abandonRequest(request_state &request, forward_context &context)
{
    request.finished = true;
    if (request.counted) {
        recordLeft(limitOf(request, context));
    }
}
} // namespace Forward
