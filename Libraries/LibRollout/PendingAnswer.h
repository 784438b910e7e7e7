#pragma once

#include "LibRollout/VersionSide.h"

namespace Rollout
{
/// An answer without errors that was received before the baseline of the old version's latency was established.
struct pending_answer {
    version_side side = version_side::Old;
    double newShare = 0.0; ///< See observation.
    double latency = 0.0; ///< In seconds.
};
} // namespace Rollout
