#pragma once

#include "Arrival.h"

#include "LibCore/Time.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace Simulation
{
/// A replica on virtual time with a few slots, a bounded queue and injected faults.
struct simulated_replica {
    unsigned slots = 2;
    std::size_t maximumQueueLength = 12;
    unsigned running = 0;
    std::deque<arrival> queue;
    Core::duration oneWayLatency {};
    Core::duration pauseInterval {}; ///< 0: no pauses.
    Core::duration pauseDuration {};
    Core::duration pausePhase {};
    double serviceTimeFactor = 1.0;
    double refusedFraction = 0.0; ///< Fraction of requests that it refuses whatever its load is.
    Core::time_point refusesFrom {};
    Core::time_point refusesUntil = Core::time_point::max();
    Core::time_point unresponsiveFrom = Core::time_point::max(); ///< From then on it does not respond.
    Core::time_point unresponsiveUntil = Core::time_point::max();
};
} // namespace Simulation
