#pragma once

#include <compare>
#include <cstdint>

namespace Exchange
{
/// A revision of the store. A store that is restored from a copy gives its numbers out again, in a higher era.
struct store_revision {
    std::uint32_t era = 0; ///< 0 if the store states none.
    std::uint64_t number = 0; ///< 0: nothing has been read.
    // NOLINTNEXTLINE(modernize-use-nullptr): the linter reports the defaulted comparison falsely.
    auto operator<=>(const store_revision &) const = default;
};
} // namespace Exchange
