#pragma once

#include "LibCore/Time.h"
#include "LibForward/RolloutOrder.h"
#include "LibForward/RolloutOutcome.h"
#include "LibRollout/OwnEvidence.h"
#include "LibRollout/RequestCounts.h"
#include "LibRollout/RolloutEvidence.h"

namespace Forward
{
/// The state of one rollout on this daemon.
struct rollout_state {
    rollout_order order;
    Core::time_point startedAt; ///< This daemon's estimate of when the operator started the rollout.
    Core::time_point knownSince; ///< When this daemon learned of it.
    double allowedShare = 0.1; ///< The fraction of all requests that a failing version may get.
    Rollout::request_counts sent;
    Core::time_point measuredAt; ///< Start of the interval over which the rate of requests is measured.
    std::uint64_t sentUntilMeasured = 0; ///< `sent.total` at that time.
    double requestRate = 0.0; ///< This daemon's requests per second, as of the latest interval.
    rollout_outcome outcome = rollout_outcome::Running;
    double share = 0.0; ///< The target version's fraction of the service's requests.
    Rollout::own_evidence localEvidence;
    Rollout::rollout_evidence mergedEvidence; ///< Merged from all daemons.
};
} // namespace Forward
