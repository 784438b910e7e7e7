#pragma once

#include "LibCore/Time.h"

#include <array>
#include <cstdint>

namespace Teams
{
/// Concurrency limit of one daemon, adapted to the latency of its queries.
struct overload_state {
    static constexpr std::size_t classCount = 3; ///< One for each Configuration::priority_class.

    double limit = 4096.0; ///< Maximum number of concurrent shard requests.
    double inFlight = 0.0; ///< Shard requests of the running queries.
    double largestCost = 0.0; ///< Shard requests of the largest query so far.
    double peakInFlight = 0.0; ///< Maximum of `inFlight` in the current window.
    /// Sum of the fractions of their allowed time that ended queries used, by class.
    std::array<double, classCount> usedSum {};
    std::array<std::uint32_t, classCount> endedCount {};
    Core::time_point windowStart;
};
} // namespace Teams
