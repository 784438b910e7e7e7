#pragma once

#include "LibCore/Time.h"

#include <string>

namespace Forward
{
/// An operator's request to move a service's traffic to replicas of another version.
struct rollout_order {
    std::string service;
    std::string targetVersion;
    Core::duration length {}; ///< Time by which all traffic uses the target version, if it is healthy.
};
} // namespace Forward
