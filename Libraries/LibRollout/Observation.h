#pragma once

#include "LibCore/Time.h"
#include "LibRollout/VersionSide.h"

#include <string>

namespace Rollout
{

/// A finished query during a rollout.
struct observation {
    version_side side = version_side::Old;
    double newShare = 0.0; ///< The new version's share of traffic when the version was chosen.
    std::string route;
    bool failed = false; ///< At least one backend server answered with an error.
    Core::duration latency {};
};
} // namespace Rollout
