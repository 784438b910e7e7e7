#pragma once

#include "LibCore/Time.h"
#include "LibForward/LoadReport.h"
#include "LibForward/Locality.h"
#include "LibForward/ReplicaRegistration.h"
#include "LibForward/RequestLimit.h"

#include <boost/container/small_vector.hpp>

#include <optional>

namespace Forward
{
/// What this daemon has recorded about one replica.
struct replica_state {
    replica_registration registration;
    locality distance = locality::OtherRegion;
    bool missing = false; ///< The registration is missing; the removal is only suspected so far.
    Core::time_point missingSince;
    bool removed = false; ///< Removed; kept while requests are outstanding so that indices stay valid.
    Core::time_point stayedAt; ///< Time of the latest answer without a sign that the replica leaves.
    bool shuttingDown = false; ///< An answer has said so, whatever the registration says.
    /// Set if the replica leaves. Until then replicas that stay are preferred; from then on it gets nothing.
    std::optional<Core::time_point> leavesAt;
    Core::time_point quietUntil; ///< The replica has asked this daemon to send nothing until then.
    Core::time_point coldUntil;
    boost::container::small_vector<Core::time_point, 4> outstanding; ///< Send times of pending requests, oldest first.
    Core::real_seconds smoothedLatency {}; ///< Exponentially weighted mean of latencies; 0: no response yet.
    Core::time_point answeredAt;
    std::optional<load_report> load;
    std::optional<request_limit> requestLimit; ///< Set while the replica states one.
    unsigned consecutiveFailures = 0;
    double errorRate = 0.0; ///< Smoothed fraction of recent requests that failed; decays with time.
    Core::time_point errorRateAt;
    double refusalRate = 0.0; ///< Smoothed fraction of recent requests that were refused; decays with time.
    Core::time_point refusalRateAt;
    Core::time_point displacedUntil; ///< Until then it is not chosen: another instance has answered at its address.
    Core::time_point avoidUntil; ///< Until then the replica is chosen only if no other one is eligible.
    Core::time_point coldWindowStart; ///< Start of the second in which cold requests are counted.
    unsigned coldRequestsSent = 0; ///< Requests sent to the cold replica in that second.
};
} // namespace Forward
