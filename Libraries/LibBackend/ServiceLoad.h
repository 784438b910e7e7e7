#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <cstdint>

namespace Backend
{
/// The requests of this daemon that a service is processing and the rate at which they end, used to estimate how long a
/// new request takes.
struct service_load {
    std::uint64_t inFlight = 0; ///< Shard requests of this daemon that have not ended.
    std::uint64_t waiting = 0; ///< Shards that wait for a replica or a token before their request is sent.
    double recentCompletions = 0.0; ///< Number of ended requests, with exponential decay over busy time.
    Core::real_seconds busyTime {}; ///< Time with requests in flight, with the same decay.
    Core::time_point updatedAt;
};

void recordStarted(service_load &load, std::size_t requests, Core::time_point now);
void recordEnded(service_load &load, Core::time_point now);

/// Returns the expected duration of a request that starts now, by Little's law: the number of requests in flight or
/// waiting, divided by the rate at which requests end. Zero if none is in flight, so that a service for which all
/// requests were rejected is tried again, or if there are too few samples.
[[nodiscard]] Core::duration expectedDuration(const service_load &load);
} // namespace Backend
