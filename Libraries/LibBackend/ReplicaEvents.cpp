#include "LibBackend/ReplicaEvents.h"

#include "LibBackend/FailedAttempt.h"
#include "LibBackend/ReplicaReport.h"
#include "LibBackend/ServiceState.h"
#include "LibBackend/SlowStart.h"
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
static constexpr std::chrono::milliseconds initialAvoidance {200};
static constexpr std::uint32_t maximumDoublings = 5;

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

static void updateMean(Core::real_seconds &mean, Core::real_seconds value, double weight)
{
    mean = mean == Core::real_seconds::zero() ? value : mean * (1.0 - weight) + value * weight;
}

static void updateMaximum(Core::real_seconds &maximum, Core::real_seconds value, double decay)
{
    maximum = std::max(value, maximum * (1.0 - decay));
}

static void recordLatency(service_state &service, replica_state &replica, double load, Core::duration latency)
{
    updateMean(replica.smoothedLatency, latency, latencyWeight);
    updateMaximum(replica.recentMaximumLatency, latency, replicaMaximumDecay);
    updateMaximum(service.recentMaximumLatency, latency, serviceMaximumDecay);
    if (replica.slowStart.level >= completedSlowStartLevel) {
        updateMean(service.warmLatency, latency, serviceLatencyWeight);
        if (load < 1.0) {
            updateMean(service.unloadedLatency, latency, serviceLatencyWeight);
        }
    }
}

void recordResponse(service_state &service, std::size_t index, const replica_report &report, Core::duration latency,
                    Core::time_point now)
{
    replica_state &replica = endRequest(service, index);
    applyReport(replica, report, now);
    if (!report.cold) {
        recordSlowStartResponse(service, replica, latency, now);
    }
    recordLatency(service, replica, report.load, latency);
    replica.respondedAt = now;
    replica.hint = load_hint {report.load, now};
    replica.consecutiveFailures = 0;
    replica.consecutiveTimeouts = 0;
    replica.avoidUntil = {};
}

void recordFailure(service_state &service, std::size_t index, const failed_attempt &failed, Core::time_point now)
{
    replica_state &replica = endRequest(service, index);
    if (failed.report) {
        applyReport(replica, *failed.report, now);
    }
    if (failed.failure == attempt_failure::ResponseTimeout) {
        replica.lastTimeoutAt = now;
        ++replica.consecutiveTimeouts;
        return;
    }
    replica.avoidUntil = now + initialAvoidance * (1U << std::min(replica.consecutiveFailures, maximumDoublings));
    ++replica.consecutiveFailures;
}

void recordOvertaken(service_state &service, std::size_t index, Core::duration elapsed, Core::time_point now)
{
    replica_state &replica = service.replicas[index];
    discardOvertakenResponses(service, replica, elapsed);
    if (elapsed > replica.smoothedLatency) {
        updateMean(replica.smoothedLatency, elapsed, latencyWeight);
        replica.respondedAt = now;
    }
}

void recordCancelled(service_state &service, std::size_t index, Core::time_point)
{
    endRequest(service, index);
}
} // namespace Backend
