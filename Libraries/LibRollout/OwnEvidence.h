#pragma once

#include "LibRollout/DaemonEvidence.h"
#include "LibRollout/LatencyBaseline.h"

#include <map>
#include <string>

namespace Rollout
{
/// What this daemon counts of one rollout, with the latencies that it compares against.
struct own_evidence {
    daemon_evidence counts;
    std::map<std::string, latency_baseline> baselines; ///< By route.
};
} // namespace Rollout
