#include "LibForward/ReplicaEvents.h"

#include "LibForward/AttemptFailure.h"
#include "LibForward/ExpectedLatency.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/ReplicaTable.h"

#include <algorithm>
#include <cmath>

namespace Forward
{
static constexpr double latencyWeight = 0.2; ///< Of a new sample; the mean adapts within a few responses.
static constexpr double errorWeight = 0.1; ///< Of a new sample; one failure in ten responses has an effect.
static constexpr Core::duration errorHalfLife = std::chrono::seconds(3); ///< Replica faults last a few seconds.
static constexpr Core::duration firstAvoidance = std::chrono::milliseconds(200);
static constexpr Core::duration longestAvoidance =
    std::chrono::seconds(2); ///< Bounds the delay until a recovered replica is used.
static constexpr Core::duration shedAvoidance =
    std::chrono::milliseconds(30); ///< A queue drains within a few service times.
static constexpr unsigned mostDoublings = 4;

static void forgetOutstanding(replica_state &replica, Core::time_point sentAt)
{
    const auto found = std::find(replica.outstanding.begin(), replica.outstanding.end(), sentAt);
    if (found != replica.outstanding.end()) {
        replica.outstanding.erase(found);
    }
}

static void smooth(Core::real_seconds &mean, Core::real_seconds sample, double weight)
{
    mean = mean.count() == 0.0 ? sample : mean + (sample - mean) * weight;
}

static void recordOutcome(replica_state &replica, double failed, Core::time_point now)
{
    replica.errorRate = fadedErrorRate(replica, now) * (1.0 - errorWeight) + failed * errorWeight;
    replica.errorRateAt = now;
}

double fadedErrorRate(const replica_state &replica, Core::time_point now)
{
    return replica.errorRate * std::exp2(-Core::toSeconds(now - replica.errorRateAt) / Core::toSeconds(errorHalfLife));
}

void recordSent(replica_book &book, const replica_key &key, Core::time_point now)
{
    replicaAt(book, key).outstanding.push_back(now);
}

void recordAnswer(replica_book &book, const replica_key &key, Core::time_point sentAt, Core::time_point now)
{
    replica_state &replica = replicaAt(book, key);
    forgetOutstanding(replica, sentAt);
    replica.consecutiveFailures = 0;
    replica.avoidUntil = {};
    smooth(replica.smoothedLatency, now - sentAt, latencyWeight);
    replica.answeredAt = now;
    recordOutcome(replica, 0.0, now);
    const Core::real_seconds work = std::max<Core::real_seconds>(now - sentAt - wayThereAndBack(replica.distance), {});
    // The service's mean is the fallback for the means of its replicas, so it adapts more slowly.
    smooth(book.services[key.service]->workTime, work, latencyWeight / 4);
}

void recordFailure(replica_book &book, const replica_key &key, attempt_failure failure, Core::time_point sentAt,
                   Core::time_point now)
{
    replica_state &replica = replicaAt(book, key);
    forgetOutstanding(replica, sentAt);
    if (failure == attempt_failure::NotExecuted) {
        replica.avoidUntil = std::max(replica.avoidUntil, now + shedAvoidance);
        return;
    }
    recordOutcome(replica, 1.0, now);
    if (failure == attempt_failure::Error) {
        return;
    }
    const unsigned doublings = std::min(replica.consecutiveFailures, mostDoublings);
    const Core::duration avoidance = firstAvoidance * (1 << doublings);
    replica.avoidUntil = now + std::min(avoidance, longestAvoidance);
    ++replica.consecutiveFailures;
    if (failure == attempt_failure::OtherInstance) {
        replica.avoidUntil = now + longestAvoidance;
    }
}

void recordLoad(replica_book &book, const replica_key &key, const load_report &report)
{
    replicaAt(book, key).load = report;
}
} // namespace Forward
