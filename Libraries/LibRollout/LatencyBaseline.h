#pragma once

#include "LibRollout/EarlyAnswer.h"

#include <vector>

namespace Rollout
{
/// The old version's latency on one route at this daemon.
struct latency_baseline {
    double highLatency = 0.0; ///< Estimated 0.9 quantile in seconds; 0: not yet known.
    std::vector<double> first; ///< The first latencies in seconds, from which the estimate starts.
    std::vector<early_answer> early; ///< Of both versions until then, to be compared as soon as it is known.
};
} // namespace Rollout
