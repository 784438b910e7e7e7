#pragma once

#include "LibCore/Time.h"

namespace Forward
{
enum class locality;
struct replica_state;
struct service_state;

/// The typical network round trip to a replica.
[[nodiscard]] Core::duration networkRoundTrip(locality distance);

/// The replica's smoothed error rate (0 to 1), decayed by the time since its last update.
[[nodiscard]] double decayedErrorRate(const replica_state &replica, Core::time_point now);

/// Returns the smoothed fraction of requests that the replica refused, decayed to the current time.
[[nodiscard]] double decayedRefusalRate(const replica_state &replica, Core::time_point now);

/// Whether the oldest outstanding request has waited so long that the replica appears to be stalled.
[[nodiscard]] bool isStalled(const replica_state &replica, const service_state &service, Core::time_point now);

/// Estimates the latency of a request sent now from the replica's recent latencies, queue length and failures.
[[nodiscard]] Core::real_seconds expectedLatency(const replica_state &replica, const service_state &service,
                                                 Core::time_point now);
} // namespace Forward
