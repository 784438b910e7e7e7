#pragma once

#include "LibCore/Time.h"
#include "LibQuery/Outcome.h"

#include <cstdint>

namespace Bench
{
/// How one query of a run ended.
struct query_record {
    Core::time_point startedAt;
    Core::duration latency {};
    Query::outcome result = Query::outcome::NotRun;
    double coverage = 0.0; ///< As claimed.
    double trueCoverage = 0.0; ///< By the replicas' own answers that reached the daemon.
    bool alert = false;
    std::uint32_t shardRequests = 0;
};
} // namespace Bench
