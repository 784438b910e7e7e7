#pragma once

#include "LibCore/Time.h"

#include <array>
#include <cstdint>

namespace Forward
{
/// Counts of first and repeated requests to one service in the latest seconds. Repeats are held to a fixed part of the
/// first ones in a sliding window, so that slow replicas cannot double their own load.
struct repeat_budget {
    static constexpr std::size_t bucketCount = 20;
    std::array<std::uint32_t, bucketCount> firsts {};
    std::array<std::uint32_t, bucketCount> repeats {};
    std::int64_t newestBucket = 0; ///< Number of the newest bucket since the clock's epoch.
};
} // namespace Forward
