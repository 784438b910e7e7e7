#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <cstdint>

namespace Backend
{
/// How much of this daemon's work a service holds and how fast it ends, to foresee how long new work would take.
struct service_load {
    std::uint64_t inFlight = 0; ///< Shard requests of this daemon that have not ended.
    std::uint64_t waiting = 0; ///< Shards that wait for a replica or a token before they are asked.
    double recentEnds = 0.0; ///< Ended requests, faded over busy time.
    Core::real_seconds busyTime {}; ///< Time with requests in flight, faded alike.
    Core::time_point updatedAt;
};

void recordStarted(service_load &load, std::size_t requests, Core::time_point now);
void recordEnded(service_load &load, Core::time_point now);

/// Returns how long a request that starts now would take, by Little's law: work in flight or waiting over the rate at
/// which it ends. Zero when nothing is in flight, so that a service which refused everything is tried again.
[[nodiscard]] Core::duration expectedTime(const service_load &load);
} // namespace Backend
