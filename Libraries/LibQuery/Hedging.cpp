#include "LibQuery/Hedging.h"

#include "LibBackend/ServiceState.h"
#include "LibQuery/Attempts.h"
#include "LibQuery/QueryState.h"

#include <algorithm>
#include <optional>

namespace Query
{
/// Latency quantile after which a hedge is sent. A later hedge costs less extra load and, as the losing attempt is
/// cancelled, gains as much.
static constexpr double hedgeQuantile = 0.97;
/// Added to the quantile if backend servers ignore cancellations: a cancelled request then keeps its slot, and each
/// hedge costs a full execution.
static constexpr double ignoredCancellationQuantileStep = 0.02;
/// Multiplies the hedge delay for attempts at a branch. The branch sends its own hedges; the root only has to replace a
/// branch that does not answer.
static constexpr int branchHedgeDelayFactor = 3;
/// The hedge delay is divided by this for the next check after a hedge was denied for lack of tokens.
static constexpr int deniedHedgeDelayDivisor = 4;

static std::optional<Core::duration> hedgeDelay(const Backend::service_state &service)
{
    const double ignoredFraction = 1.0 - service.cancellations.honouredFraction;
    return Backend::latencyQuantile(service.firstAttemptLatencies,
                                    hedgeQuantile + ignoredCancellationQuantileStep * ignoredFraction);
}

static Core::duration hedgeDelayFor(const attempt_state &attempt, Core::duration delay)
{
    return attempt.target.peer.empty() ? delay : delay * branchHedgeDelayFactor;
}

static void scheduleHedgeCheck(query_state &query, Core::time_point when)
{
    query.nextHedgeCheck = query.nextHedgeCheck ? std::min(*query.nextHedgeCheck, when) : when;
}

void scheduleHedges(query_state &query, const Backend::service_state &service, Core::time_point now)
{
    if (!query.plan.idempotent) {
        return;
    }
    if (const std::optional<Core::duration> delay = hedgeDelay(service)) {
        scheduleHedgeCheck(query, now + *delay);
    }
}

static bool canHedge(const shard_state &shard)
{
    return shard.open && shard.running.size() == 1 && shard.attemptsSent < maximumAttemptsPerShard;
}

static bool sendHedge(query_state &query, Backend::service_state &service, std::size_t shard, query_effects &effects,
                      Core::time_point now, Core::random_engine &random)
{
    if (!Backend::takeToken(service.extraLoad)) {
        return false;
    }
    if (!sendAttempt(query, service, shard, attempt_kind::Hedge, effects, now, random)) {
        Backend::returnToken(service.extraLoad);
        return false;
    }
    return true;
}

void sendHedges(query_state &query, Backend::service_state &service, query_effects &effects, Core::time_point now,
                Core::random_engine &random)
{
    query.nextHedgeCheck.reset();
    const std::optional<Core::duration> delay = hedgeDelay(service);
    if (!delay || !query.plan.idempotent) {
        return;
    }
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        const shard_state &shard = query.shards[index];
        if (!canHedge(shard)) {
            continue;
        }
        const Core::time_point due = shard.running.front().sentAt + hedgeDelayFor(shard.running.front(), *delay);
        if (due > now) {
            scheduleHedgeCheck(query, due);
        } else if (!sendHedge(query, service, index, effects, now, random)) {
            scheduleHedgeCheck(query, now + *delay / deniedHedgeDelayDivisor);
        }
    }
}
} // namespace Query
