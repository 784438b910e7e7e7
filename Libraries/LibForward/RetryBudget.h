#pragma once

#include "LibCore/Time.h"

#include <array>
#include <cstdint>

namespace Forward
{
/// Counts of first attempts and of retries to one service in recent time buckets; hedges count as retries. Retries are
/// limited to a fixed fraction of the first attempts in a sliding window, so that slow replicas cannot double their
/// load.
struct retry_budget {
    static constexpr std::size_t bucketCount = 20;
    std::array<std::uint32_t, bucketCount> firstAttempts {};
    std::array<std::uint32_t, bucketCount> retries {};
    std::int64_t newestBucket = 0; ///< Number of the newest bucket, counted from the clock's epoch.
};
} // namespace Forward
