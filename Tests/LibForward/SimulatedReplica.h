#pragma once

#include "Arrival.h"

#include "LibCore/Time.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace Simulation
{
/// A replica on virtual time: a few slots, a queue, and troubles.
struct simulated_replica {
    unsigned slots = 2;
    std::size_t longestQueue = 12;
    unsigned running = 0;
    std::deque<arrival> queue;
    Core::duration oneWay {};
    Core::duration pauseEvery {}; ///< 0: it never pauses.
    Core::duration pauseFor {};
    Core::duration pausePhase {};
    double slowness = 1.0; ///< Factor on the time that a request takes.
    Core::time_point darkFrom = Core::time_point::max(); ///< From then on it answers nothing.
    Core::time_point darkUntil = Core::time_point::max();
};
} // namespace Simulation
