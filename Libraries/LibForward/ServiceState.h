#pragma once

#include "LibForward/LatencyHistogram.h"
#include "LibForward/RepeatBudget.h"
#include "LibForward/ReplicaState.h"
#include "LibForward/ServicePolicy.h"

#include <string>
#include <vector>

namespace Forward
{
/// One service's replicas as this daemon sees them, and its budget of repeats.
struct service_state {
    std::string name;
    std::vector<replica_state> replicas; ///< Places of departed replicas are used again.
    repeat_budget repeats;
    Core::real_seconds workTime {}; ///< Smoothed answer time less the way there and back; 0: no answer yet.
};
} // namespace Forward
