#pragma once

#include "LibCore/Time.h"
#include "LibRollout/VersionSide.h"

#include <string>

namespace Rollout
{

/// One query that ended.
struct observation {
    version_side side = version_side::Old;
    double newShare = 0.0; ///< The new version's share of traffic by which the side was drawn.
    std::string route;
    bool failed = false; ///< Some backend server answered it with an error.
    Core::duration latency {};
};
} // namespace Rollout
