#include "LibForward/ExpectedLatency.h"

#include "LibForward/ServiceState.h"

#include <algorithm>
#include <cmath>

namespace Forward
{
using namespace std::chrono_literals;

static constexpr Core::real_seconds defaultServiceTime = 10ms; ///< Used until a service has responded once.
static constexpr Core::real_seconds latencyHalfLife = 2s; ///< A slow replica is tried again after a few seconds.
static constexpr Core::real_seconds loadHalfLife = 100ms; ///< About the time in which a full queue drains.
static constexpr Core::real_seconds minimumStallTime = 30ms; ///< Shorter waits are normal queueing.
static constexpr double stallFactor = 2.5; ///< Multiple of the expected latency.
static constexpr Core::real_seconds stallPenalty = 120ms; ///< Mean remainder of a pause and its backlog.
static constexpr Core::real_seconds errorPenalty = 400ms; ///< At an error rate of 1: cost of a failure and a retry.
/// At a refusal rate of 1. More than the way to another region and back: a replica there that accepts is preferred.
static constexpr Core::real_seconds refusalPenalty = 80ms;
static constexpr Core::real_seconds avoidPenalty = 2s; ///< Ranks avoided replicas behind all others.
/// Several service times: replicas that stay are preferred to missing and leaving ones unless their queues are long.
static constexpr Core::real_seconds departurePenalty = 50ms;
static constexpr double coldFactor = 1.6; ///< Slowdown of cold replicas, approximately.

Core::duration networkRoundTrip(locality distance)
{
    switch (distance) {
    case locality::SameDataCentre:
        return 1ms;
    case locality::SameRegion:
        return 4ms;
    case locality::OtherRegion:
        return 20ms;
    }
    return 20ms;
}

static double decayFactor(Core::duration age, Core::real_seconds halfLife)
{
    return std::exp2(-Core::toSeconds(age) / halfLife.count());
}

/// The replica's mean latency, decaying towards the service's mean as the last response ages.
static Core::real_seconds decayedLatency(const replica_state &replica, const service_state &service,
                                         Core::time_point now)
{
    const Core::real_seconds meanServiceTime =
        service.serviceTime.count() > 0.0 ? service.serviceTime : defaultServiceTime;
    const Core::real_seconds baseline = meanServiceTime + networkRoundTrip(replica.distance);
    if (replica.smoothedLatency.count() == 0.0) {
        return baseline;
    }
    return baseline + (replica.smoothedLatency - baseline) * decayFactor(now - replica.answeredAt, latencyHalfLife);
}

static double requestsAhead(const replica_state &replica, Core::time_point now)
{
    double estimate = static_cast<double>(replica.outstanding.size());
    if (replica.load) {
        const double reported = replica.load->running + replica.load->waiting;
        estimate = std::max(estimate, reported * decayFactor(now - replica.load->reportedAt, loadHalfLife));
    }
    return estimate;
}

bool isStalled(const replica_state &replica, const service_state &service, Core::time_point now)
{
    if (replica.outstanding.empty()) {
        return false;
    }
    const Core::real_seconds waited = now - replica.outstanding.front();
    const Core::real_seconds baseline = decayedLatency(replica, service, now);
    return waited > std::max(minimumStallTime, baseline * stallFactor);
}

Core::real_seconds expectedLatency(const replica_state &replica, const service_state &service, Core::time_point now)
{
    Core::real_seconds expected = decayedLatency(replica, service, now);
    const Core::real_seconds meanServiceTime =
        service.serviceTime.count() > 0.0 ? service.serviceTime : defaultServiceTime;
    const double slots = std::max(replica.registration.slots, 1U);
    expected += meanServiceTime * (std::max(requestsAhead(replica, now) + 1.0 - slots, 0.0) / slots);
    if (now < replica.coldUntil) {
        expected *= coldFactor;
    }
    if (isStalled(replica, service, now)) {
        expected += stallPenalty;
    }
    expected += errorPenalty * decayedErrorRate(replica, now);
    expected += refusalPenalty * decayedRefusalRate(replica, now);
    if (replica.missing || replica.leavesAt) {
        expected += departurePenalty;
    }
    if (now < replica.avoidUntil) {
        expected += avoidPenalty;
    }
    return expected;
}
} // namespace Forward
