#pragma once

#include "LibRollout/DaemonEvidence.h"
#include "LibRollout/LatencyBaseline.h"

#include <map>
#include <string>

namespace Rollout
{
/// The evidence on one rollout that this daemon collects, with the latency baselines for comparison.
struct own_evidence {
    daemon_evidence counts;
    std::map<std::string, latency_baseline> baselines; ///< By route.
};
} // namespace Rollout
