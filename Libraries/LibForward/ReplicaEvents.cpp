#include "LibForward/ReplicaEvents.h"

#include "LibForward/AttemptFailure.h"
#include "LibForward/ExpectedLatency.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/ReplicaTable.h"
#include "LibForward/RequestLimits.h"

#include <algorithm>
#include <cmath>

namespace Forward
{
static constexpr double latencyWeight = 0.2; ///< Of a new sample; the mean adapts within a few responses.
static constexpr double errorWeight = 0.1; ///< Of a new sample; one failure in ten responses has an effect.
static constexpr Core::duration errorHalfLife = std::chrono::seconds(3); ///< Replica faults last a few seconds.
static constexpr double refusalWeight = 0.2; ///< Of a new sample; a few refusals have an effect.
static constexpr Core::duration refusalHalfLife = std::chrono::seconds(2);
static constexpr Core::duration initialAvoidance = std::chrono::milliseconds(200);
/// Bounds the delay until a recovered replica is used.
static constexpr Core::duration maximumAvoidance = std::chrono::seconds(2);
/// An instance that has lost its address does not return to it. Its registration lapses within this time.
static constexpr Core::duration displacedTime = std::chrono::seconds(10);
/// A queue drains within a few service times.
static constexpr Core::duration overloadAvoidance = std::chrono::milliseconds(30);
static constexpr unsigned maximumDoublings = 4;

static void removeOutstanding(replica_state &replica, Core::time_point sentAt)
{
    const auto found = std::find(replica.outstanding.begin(), replica.outstanding.end(), sentAt);
    if (found != replica.outstanding.end()) {
        replica.outstanding.erase(found);
    }
}

static void updateMean(Core::real_seconds &mean, Core::real_seconds sample, double weight)
{
    mean = mean.count() == 0.0 ? sample : mean + (sample - mean) * weight;
}

static void recordOutcome(replica_state &replica, double failed, Core::time_point now)
{
    replica.errorRate = decayedErrorRate(replica, now) * (1.0 - errorWeight) + failed * errorWeight;
    replica.errorRateAt = now;
}

static void recordRefusal(replica_state &replica, double refused, Core::time_point now)
{
    replica.refusalRate = decayedRefusalRate(replica, now) * (1.0 - refusalWeight) + refused * refusalWeight;
    replica.refusalRateAt = now;
}

double decayedRefusalRate(const replica_state &replica, Core::time_point now)
{
    return replica.refusalRate
        * std::exp2(-Core::toSeconds(now - replica.refusalRateAt) / Core::toSeconds(refusalHalfLife));
}

double decayedErrorRate(const replica_state &replica, Core::time_point now)
{
    return replica.errorRate * std::exp2(-Core::toSeconds(now - replica.errorRateAt) / Core::toSeconds(errorHalfLife));
}

void recordSent(replica_table &replicaTable, const replica_key &key, Core::time_point now)
{
    replica_state &replica = replicaAt(replicaTable, key);
    takeLimitedRequest(replica, now);
    replica.outstanding.push_back(now);
}

void recordAnswer(replica_table &replicaTable, const replica_key &key, Core::time_point sentAt, Core::time_point now)
{
    replica_state &replica = replicaAt(replicaTable, key);
    removeOutstanding(replica, sentAt);
    replica.consecutiveFailures = 0;
    replica.avoidUntil = {};
    updateMean(replica.smoothedLatency, now - sentAt, latencyWeight);
    replica.answeredAt = now;
    recordOutcome(replica, 0.0, now);
    recordRefusal(replica, 0.0, now);
    const Core::real_seconds measuredServiceTime =
        std::max<Core::real_seconds>(now - sentAt - networkRoundTrip(replica.distance), {});
    // The service's mean is the fallback for the means of its replicas, so it adapts more slowly.
    updateMean(replicaTable.services[key.service]->serviceTime, measuredServiceTime, latencyWeight / 4);
}

void recordFailure(replica_table &replicaTable, const replica_key &key, attempt_failure failure,
                   Core::time_point sentAt, Core::time_point now)
{
    replica_state &replica = replicaAt(replicaTable, key);
    removeOutstanding(replica, sentAt);
    if (isUnsent(failure)) {
        returnLimitedRequest(replica, now);
    }
    if (failure == attempt_failure::Withdrawn) {
        return; // The replica had no part in it.
    }
    if (failure == attempt_failure::NotExecuted) {
        replica.avoidUntil = std::max(replica.avoidUntil, now + overloadAvoidance);
        recordRefusal(replica, 1.0, now);
        return;
    }
    recordOutcome(replica, 1.0, now);
    if (failure == attempt_failure::Error) {
        return;
    }
    const unsigned doublings = std::min(replica.consecutiveFailures, maximumDoublings);
    const Core::duration avoidance = initialAvoidance * (1 << doublings);
    replica.avoidUntil = now + std::min(avoidance, maximumAvoidance);
    ++replica.consecutiveFailures;
    if (failure == attempt_failure::OtherInstance) {
        replica.displacedUntil = now + displacedTime;
    }
}

void recordLoad(replica_table &replicaTable, const replica_key &key, const load_report &report)
{
    replicaAt(replicaTable, key).load = report;
}
} // namespace Forward
