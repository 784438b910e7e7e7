#pragma once

#include "LibRollout/DaemonEvidence.h"

#include <map>
#include <string>

namespace Rollout
{
/// What this daemon counts of one rollout, with the latencies that it compares against.
struct own_evidence {
    daemon_evidence counts;
    std::map<std::string, double> highLatency; ///< Estimated 0.9 quantile of the old version in seconds, by route.
};
} // namespace Rollout
