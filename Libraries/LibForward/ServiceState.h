#pragma once

#include "LibForward/LatencyHistogram.h"
#include "LibForward/ReplicaState.h"
#include "LibForward/RetryBudget.h"
#include "LibForward/ServicePolicy.h"

#include <string>
#include <vector>

namespace Forward
{
/// The replicas of one service as known to this daemon, and its retry budget.
struct service_state {
    std::string name;
    std::vector<replica_state> replicas; ///< Slots of removed replicas are reused.
    std::string establishedVersion; ///< The version that served before another one was registered beside it.
    bool hasSeveralVersions = false;
    retry_budget retryBudget;
    Core::real_seconds serviceTime {}; ///< Smoothed latency minus the network round trip; 0: no response yet.
};
} // namespace Forward
