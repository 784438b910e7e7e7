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
    std::size_t longestQueue = 12;
    unsigned running = 0;
    std::deque<arrival> queue;
    Core::duration oneWay {};
    Core::duration pauseEvery {}; ///< Interval between pauses; 0: no pauses.
    Core::duration pauseFor {};
    Core::duration pausePhase {};
    double slowness = 1.0; ///< Factor on the service time.
    Core::time_point darkFrom = Core::time_point::max(); ///< From then on it does not respond.
    Core::time_point darkUntil = Core::time_point::max();
};
} // namespace Simulation
