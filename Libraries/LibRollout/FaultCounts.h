#pragma once

#include <cstdint>

namespace Rollout
{
/// Counts of one kind of faulty answers. All counts are monotonic.
struct fault_counts {
    static constexpr double expectedScale = 256.0; ///< Units of `expected` per answer.

    std::uint32_t total = 0; ///< Faulty answers of both versions.
    std::uint32_t byNewVersion = 0; ///< Faulty answers of the new version.
    std::uint32_t expected = 0; ///< Sum over all faulty answers of the new version's share at the start of the query.
    bool operator==(const fault_counts &) const = default;
};
} // namespace Rollout
