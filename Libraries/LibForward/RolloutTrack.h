#pragma once

#include "LibCore/Time.h"
#include "LibForward/RolloutOrder.h"
#include "LibForward/RolloutOutcome.h"
#include "LibRollout/OwnEvidence.h"
#include "LibRollout/RolloutEvidence.h"

namespace Forward
{
/// What this daemon knows of one rollout.
struct rollout_track {
    rollout_order order;
    Core::time_point startedAt; ///< When the order was given, as far as this daemon knows.
    rollout_outcome outcome = rollout_outcome::Running;
    double share = 0.0; ///< The target version's part of the service's requests.
    Rollout::own_evidence own;
    Rollout::rollout_evidence held; ///< Merged from all daemons.
};
} // namespace Forward
