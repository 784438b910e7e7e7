#pragma once

#include "LibRollout/VersionSide.h"

#include <cstddef>
#include <span>
#include <string>

namespace Forward
{
struct rollout_track;
struct service_policy;

/// Which replicas of a service may be chosen for one attempt.
struct choice_filter {
    const service_policy *policy = nullptr; ///< The service's policy; null: none is known.
    std::span<const std::string> allowedRegions {}; ///< Empty: all.
    const rollout_track *rollout = nullptr; ///< The service's rollout; null: versions do not matter.
    Rollout::version_side side = Rollout::version_side::Old; ///< Under a rollout, the side that may be chosen.
    std::span<const std::size_t> tried {}; ///< Replicas that this request was sent to already.
};
} // namespace Forward
