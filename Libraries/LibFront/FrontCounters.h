#pragma once

#include "LibFront/LatencyCounters.h"

#include <cstdint>
#include <map>
#include <string>

namespace Front
{
/// Sums since the start of the process.
struct front_counters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t answeredLate = 0; ///< Beyond the route's target latency.
    std::uint64_t answeredPartly = 0; ///< With shards missing.
    std::uint64_t notRun = 0;
    std::uint64_t failed = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t abandoned = 0; ///< The caller left.
    std::uint64_t unroutable = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t attempts = 0;
    std::map<std::string, latency_counters> answerTimes; ///< Of answered requests, by route.
    std::map<std::string, latency_counters> attemptTimes; ///< Of replicas' good answers, by route.
};
} // namespace Front
