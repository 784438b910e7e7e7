#pragma once

#include <cstdint>

namespace Bench
{
/// How one rollout went.
struct rollout_record {
    std::uint64_t queriesUntilShown = 0; ///< Until the new version's 20th faulty answer, or all of them.
    std::uint64_t newUntilShown = 0; ///< Part of them that used the new version.
    std::uint64_t newAfterBound = 0; ///< Queries that used the new version later than 3 s after that answer.
    bool shown = false; ///< There was a 20th faulty answer.
    bool takenBack = false; ///< Some daemon found the new version bad.
    bool moved = false; ///< All daemons sent everything to the new version at the deadline.
};
} // namespace Bench
