#pragma once

#include "LibRollout/FaultCounts.h"

#include <cstdint>

namespace Rollout
{
/// Counts of answers on one route at one daemon.
struct route_counts {
    std::uint32_t newTotal = 0; ///< Answers of the new version, faulty or not.
    fault_counts errors;
    fault_counts slow; ///< Answers without errors that were slow compared to the old version.
    bool operator==(const route_counts &) const = default;
};
} // namespace Rollout
