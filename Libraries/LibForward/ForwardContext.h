#pragma once

#include "LibCore/RandomEngine.h"
#include "LibForward/LatencyHistogram.h"
#include "LibForward/LoadLimit.h"
#include "LibForward/ReplicaBook.h"
#include "LibForward/RolloutTrack.h"

#include <string>
#include <unordered_map>

namespace Forward
{
/// What running requests share: knowledge of replicas, latencies of routes, and chance.
struct forward_context {
    replica_book book;
    std::unordered_map<std::string, latency_histogram> routeLatencies; ///< Of first attempts, by route.
    std::unordered_map<std::size_t, load_limit> loadLimits; ///< Of gathers, by the first shard's place in the book.
    std::unordered_map<std::string, rollout_track> rollouts; ///< By service.
    Core::random_engine random;
};
} // namespace Forward
