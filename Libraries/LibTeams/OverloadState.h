#pragma once

#include "LibCore/Time.h"

#include <array>
#include <cstdint>

namespace Teams
{
/// How much work one daemon lets run at once, adapted to how fast its queries end.
struct overload_state {
    static constexpr std::size_t classCount = 3; ///< One for each Configuration::priority_class.

    double limit = 4096.0; ///< Shard requests that may run at once.
    double inFlight = 0.0; ///< Shard requests of the queries that run.
    double largestCost = 0.0; ///< Shard requests of the largest query so far.
    double peakInFlight = 0.0; ///< The largest inFlight in the current window.
    std::array<double, classCount> usedSum {}; ///< Sum over ended queries of the used part of their time, by class.
    std::array<std::uint32_t, classCount> endedCount {};
    Core::time_point windowStart;
};
} // namespace Teams
