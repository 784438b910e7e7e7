#pragma once

#include "LibCore/RandomEngine.h"
#include "LibForward/ConcurrencyLimit.h"
#include "LibForward/LatencyHistogram.h"
#include "LibForward/ReplicaTable.h"
#include "LibForward/RolloutState.h"

#include <string>
#include <unordered_map>

namespace Forward
{
/// State shared by all running requests: the replica table, the latencies of routes and the random engine.
struct forward_context {
    replica_table replicaTable;
    std::unordered_map<std::string, latency_histogram> routeLatencies; ///< Latencies of first attempts, by route name.
    /// For scatter-gather requests, by the service index of the first shard.
    std::unordered_map<std::size_t, concurrency_limit> concurrencyLimits;
    std::unordered_map<std::string, rollout_state> rollouts; ///< By service name.
    Core::random_engine random;
};
} // namespace Forward
