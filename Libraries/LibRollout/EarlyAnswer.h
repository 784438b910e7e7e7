#pragma once

#include "LibRollout/VersionSide.h"

namespace Rollout
{
/// An answer without errors that came before it was known which latency is high.
struct early_answer {
    version_side side = version_side::Old;
    double newShare = 0.0; ///< See observation.
    double latency = 0.0; ///< In seconds.
};
} // namespace Rollout
