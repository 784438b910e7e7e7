#pragma once

#include <compare>
#include <cstdint>

namespace Exchange
{
/// How much of the store's content a daemon has applied, for comparison with other daemons.
struct feed_progress {
    std::uint32_t era = 0; ///< The era in which every kind has been read.
    std::uint64_t revisions = 0; ///< Sum over the kinds, since the maximum would hide that one kind lags.
    // NOLINTNEXTLINE(modernize-use-nullptr): the linter reports the defaulted comparison falsely.
    auto operator<=>(const feed_progress &) const = default;
};
} // namespace Exchange
