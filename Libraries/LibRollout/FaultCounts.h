#pragma once

#include <cstdint>

namespace Rollout
{
/// Faulty answers of one kind. Each number only grows.
struct fault_counts {
    static constexpr double expectedScale = 256.0; ///< Units of `expected` in one answer.

    std::uint32_t all = 0; ///< Of both versions.
    std::uint32_t ofNew = 0; ///< Of the new version.
    std::uint32_t expected = 0; ///< Sum over all of them of the new version's share when the query started.
    bool operator==(const fault_counts &) const = default;
};
} // namespace Rollout
