#pragma once

#include "LibFront/LatencyCounters.h"

#include <cstdint>
#include <map>
#include <string>

namespace Front
{
/// Counters since the start of the process.
struct front_counters {
    std::uint64_t failedHandlers = 0; ///< Handlers of the event loop that an exception left.
    std::uint64_t storeRestores = 0; ///< Times that the store came back from a copy.
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t answeredLate = 0; ///< Latency exceeded the route's target latency.
    std::uint64_t answeredPartially = 0; ///< Results of some shards were missing.
    std::uint64_t notRun = 0;
    std::uint64_t failed = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t abandoned = 0; ///< The caller disconnected before the response.
    std::uint64_t unroutable = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t attempts = 0;
    std::uint64_t withdrawn = 0; ///< Attempts that became pointless while they waited for a connection.
    std::uint64_t invalidResponses = 0; ///< Attempts that ended with bytes that are no response.
    std::map<std::string, latency_counters> answerTimes; ///< Latencies of successfully answered requests, by route.
    std::map<std::string, latency_counters> attemptTimes; ///< Latencies of replicas' successful responses, by route.
};
} // namespace Front
