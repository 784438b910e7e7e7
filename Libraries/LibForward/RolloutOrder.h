#pragma once

#include "LibCore/Time.h"

#include <string>

namespace Forward
{
/// An operator's order to move a service's traffic to replicas of another version.
struct rollout_order {
    std::string service;
    std::string targetVersion;
    Core::duration length {}; ///< All traffic uses the target version by then, if it is good.
};
} // namespace Forward
