#pragma once

#include <cstddef>
#include <span>
#include <string>

namespace Forward
{
struct service_policy;

/// Which replicas of a service may be chosen for one attempt.
struct choice_filter {
    const service_policy *policy = nullptr; ///< The service's policy; null: none is known.
    std::span<const std::string> allowedRegions {}; ///< Empty: all.
    std::span<const std::size_t> tried {}; ///< Replicas that this request was sent to already.
};
} // namespace Forward
