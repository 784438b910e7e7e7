#pragma once

#include <cstdint>

namespace Rollout
{
/// Requests that one daemon has sent to a service's replicas since it learned of the rollout.
struct request_counts {
    std::uint64_t total = 0;
    std::uint64_t newVersion = 0;
};
} // namespace Rollout
