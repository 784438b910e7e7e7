#include "LibBackend/ReplicaEvents.h"

#include "LibBackend/FailedAttempt.h"
#include "LibBackend/ReplicaReport.h"
#include "LibBackend/ServiceState.h"
#include "LibBackend/Warmth.h"
#include "LibCore/Verify.h"

#include <algorithm>

namespace Backend
{
static constexpr double latencyWeight = 0.1;
/// Weight of one response in the exponentially weighted mean over the whole service.
static constexpr double serviceLatencyWeight = 0.01;
/// Fraction by which each response decays the maximum latency, for a replica and for the whole service.
static constexpr double replicaMaximumDecay = 0.01;
static constexpr double serviceMaximumDecay = 0.001;
static constexpr std::chrono::milliseconds firstAvoidance {200};
static constexpr std::uint32_t mostDoublings = 5;

void recordSent(service_state &service, std::size_t index, Core::time_point)
{
    ++service.replicas[index].inFlight;
}

static replica_state &endRequest(service_state &service, std::size_t index)
{
    replica_state &replica = service.replicas[index];
    VERIFY(replica.inFlight > 0);
    --replica.inFlight;
    return replica;
}

static void smooth(Core::real_seconds &mean, Core::real_seconds value, double weight)
{
    mean = mean == Core::real_seconds::zero() ? value : mean * (1.0 - weight) + value * weight;
}

static void followMaximum(Core::real_seconds &maximum, Core::real_seconds value, double decay)
{
    maximum = std::max(value, maximum * (1.0 - decay));
}

static void recordLatency(service_state &service, replica_state &replica, double load, Core::duration latency)
{
    smooth(replica.smoothedLatency, latency, latencyWeight);
    followMaximum(replica.slowestRecent, latency, replicaMaximumDecay);
    followMaximum(service.slowestRecent, latency, serviceMaximumDecay);
    if (replica.warmth.level >= warmestLevel) {
        smooth(service.warmLatency, latency, serviceLatencyWeight);
        if (load < 1.0) {
            smooth(service.unloadedLatency, latency, serviceLatencyWeight);
        }
    }
}

void recordAnswer(service_state &service, std::size_t index, const replica_report &report, Core::duration latency,
                  Core::time_point now)
{
    replica_state &replica = endRequest(service, index);
    observeReport(replica, report, now);
    if (!report.cold) {
        observeWarmAnswer(service, replica, latency, now);
    }
    recordLatency(service, replica, report.load, latency);
    replica.answeredAt = now;
    replica.hint = load_hint {report.load, now};
    replica.consecutiveFailures = 0;
    replica.consecutiveSilences = 0;
    replica.avoidUntil = {};
}

void recordFailure(service_state &service, std::size_t index, const failed_attempt &failed, Core::time_point now)
{
    replica_state &replica = endRequest(service, index);
    if (failed.report) {
        observeReport(replica, *failed.report, now);
    }
    if (failed.failure == attempt_failure::Silent) {
        replica.silentAt = now;
        ++replica.consecutiveSilences;
        return;
    }
    replica.avoidUntil = now + firstAvoidance * (1U << std::min(replica.consecutiveFailures, mostDoublings));
    ++replica.consecutiveFailures;
}

void recordOvertaken(service_state &service, std::size_t index, Core::duration elapsed, Core::time_point now)
{
    replica_state &replica = service.replicas[index];
    observeOvertaken(service, replica, elapsed);
    if (elapsed > replica.smoothedLatency) {
        smooth(replica.smoothedLatency, elapsed, latencyWeight);
        replica.answeredAt = now;
    }
}

void recordCancelled(service_state &service, std::size_t index, Core::time_point)
{
    endRequest(service, index);
}
} // namespace Backend
