#pragma once

#include "LibCore/Time.h"
#include "LibForward/RolloutOrder.h"
#include "LibForward/RolloutOutcome.h"
#include "LibRollout/OwnEvidence.h"
#include "LibRollout/RolloutEvidence.h"

namespace Forward
{
/// The state of one rollout on this daemon.
struct rollout_track {
    rollout_order order;
    Core::time_point startedAt; ///< This daemon's estimate of when the operator started the rollout.
    rollout_outcome outcome = rollout_outcome::Running;
    double share = 0.0; ///< The target version's fraction of the service's requests.
    Rollout::own_evidence own;
    Rollout::rollout_evidence held; ///< Merged from all daemons.
};
} // namespace Forward
