#include "LibQuery/Hedging.h"

#include "LibBackend/ServiceState.h"
#include "LibQuery/Attempts.h"
#include "LibQuery/QueryState.h"

#include <algorithm>
#include <optional>

namespace Query
{
/// Later hedges cost less and, with the loser cancelled, gain no less.
static constexpr double hedgeQuantile = 0.97;
/// How much later the quantile moves where cancelled requests keep their slots, so that each hedge costs a whole run.
static constexpr double ignoredQuantileStep = 0.02;
/// A branch hedges by itself; the root only guards against a branch that has gone silent.
static constexpr int guardFactor = 3;
/// How soon a hedge that found no token is tried again, as a part of the hedge delay.
static constexpr int deniedParts = 4;

static std::optional<Core::duration> hedgeDelay(const Backend::service_state &service)
{
    const double ignoredPart = 1.0 - service.cancellations.honouredFraction;
    return Backend::latencyQuantile(service.firstAttemptLatencies, hedgeQuantile + ignoredQuantileStep * ignoredPart);
}

static Core::duration delayFor(const attempt_state &attempt, Core::duration delay)
{
    return attempt.target.peer.empty() ? delay : delay * guardFactor;
}

static void lookAgainAt(query_state &query, Core::time_point when)
{
    query.hedgeAt = query.hedgeAt ? std::min(*query.hedgeAt, when) : when;
}

void planHedges(query_state &query, const Backend::service_state &service, Core::time_point now)
{
    if (!query.plan.idempotent) {
        return;
    }
    if (const std::optional<Core::duration> delay = hedgeDelay(service)) {
        lookAgainAt(query, now + *delay);
    }
}

static bool mayHedge(const shard_state &shard)
{
    return shard.open && shard.running.size() == 1 && shard.attemptsSent < mostAttemptsPerShard;
}

static bool sendOneHedge(query_state &query, Backend::service_state &service, std::size_t shard, query_effects &effects,
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
    query.hedgeAt.reset();
    const std::optional<Core::duration> delay = hedgeDelay(service);
    if (!delay || !query.plan.idempotent) {
        return;
    }
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        const shard_state &shard = query.shards[index];
        if (!mayHedge(shard)) {
            continue;
        }
        const Core::time_point due = shard.running.front().sentAt + delayFor(shard.running.front(), *delay);
        if (due > now) {
            lookAgainAt(query, due);
        } else if (!sendOneHedge(query, service, index, effects, now, random)) {
            lookAgainAt(query, now + *delay / deniedParts);
        }
    }
}
} // namespace Query
