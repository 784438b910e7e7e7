#pragma once

#include <cstdint>

namespace Rollout
{
/// Answers of one route at one daemon. A faulty answer is an error, or slow against the old version. Each number only
/// grows.
struct route_counts {
    static constexpr double expectedScale = 256.0; ///< Units of `expected` in one answer.

    std::uint32_t newTotal = 0; ///< Answers of the new version.
    std::uint32_t newFaulty = 0;
    std::uint32_t faulty = 0; ///< Faulty answers of both versions.
    std::uint32_t expected = 0; ///< Sum over the faulty answers of the new version's share when the query started.
    bool operator==(const route_counts &) const = default;
};
} // namespace Rollout
