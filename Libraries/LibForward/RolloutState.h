#pragma once

#include "LibCore/Time.h"
#include "LibForward/RolloutOrder.h"
#include "LibForward/RolloutOutcome.h"
#include "LibRollout/OwnEvidence.h"
#include "LibRollout/RolloutEvidence.h"

namespace Forward
{
/// The state of one rollout on this daemon.
struct rollout_state {
    rollout_order order;
    Core::time_point startedAt; ///< This daemon's estimate of when the operator started the rollout.
    rollout_outcome outcome = rollout_outcome::Running;
    double share = 0.0; ///< The target version's fraction of the service's requests.
    Rollout::own_evidence localEvidence;
    Rollout::rollout_evidence mergedEvidence; ///< Merged from all daemons.
};
} // namespace Forward
