#pragma once

#include "LibForward/AttemptKind.h"
#include "LibRollout/VersionSide.h"

#include <cstddef>
#include <span>
#include <string>

namespace Forward
{
struct rollout_state;
struct service_policy;

/// Restricts which replicas of a service may be chosen for one attempt.
struct choice_filter {
    attempt_kind kind = attempt_kind::First;
    const service_policy *policy = nullptr; ///< The service's policy; null if the configuration has none.
    std::span<const std::string> allowedRegions {}; ///< Empty: all regions are allowed.
    const rollout_state *rollout = nullptr; ///< The service's rollout; null if any version may be chosen.
    Rollout::version_side side = Rollout::version_side::Old; ///< During a rollout, the side that may be chosen.
    const std::string *version = nullptr; ///< Without a rollout, the version that may be chosen; null: any.
    std::span<const std::size_t> tried {}; ///< Replicas that have already been sent this request.
};
} // namespace Forward
