#pragma once

#include "LibRollout/PendingAnswer.h"

#include <vector>

namespace Rollout
{
/// Estimate of the old version's latency on one route at this daemon.
struct latency_baseline {
    double highLatency = 0.0; ///< Estimated 0.9 quantile in seconds; 0 until it is established.
    std::vector<double> initialLatencies; ///< The first latencies in seconds, which give the initial estimate.
    /// Answers of both versions that are compared once the estimate is established.
    std::vector<pending_answer> pendingAnswers;
};
} // namespace Rollout
