#pragma once

#include "LibCore/Time.h"
#include "LibForward/LoadReport.h"
#include "LibForward/Locality.h"
#include "LibForward/ReplicaEntry.h"

#include <boost/container/small_vector.hpp>

#include <optional>

namespace Forward
{
/// What this daemon knows of one replica.
struct replica_state {
    replica_entry entry;
    locality distance = locality::OtherRegion;
    bool missing = false; ///< Its registration was removed, but it is not taken as gone yet.
    bool gone = false; ///< No longer registered; kept while requests are outstanding so that indices stay valid.
    Core::time_point coldUntil;
    boost::container::small_vector<Core::time_point, 4> outstanding; ///< Send times of open requests, oldest first.
    Core::real_seconds smoothedLatency {}; ///< Exponentially weighted mean of answer times; 0: no answer yet.
    Core::time_point answeredAt;
    std::optional<load_report> load;
    unsigned consecutiveFailures = 0;
    double errorRate = 0.0; ///< Smoothed part of recent requests that failed; fades with time.
    Core::time_point errorRateAt;
    Core::time_point avoidUntil; ///< Chosen only if no other replica can serve, until then.
    Core::time_point coldWindowStart; ///< Begin of the second in which cold requests are counted.
    unsigned coldSent = 0; ///< Requests sent in that second while the replica was cold.
};
} // namespace Forward
