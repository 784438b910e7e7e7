#pragma once

#include <compare>
#include <cstdint>

namespace Membership
{
/// A configuration number. Numbers are given out again in a higher era if the store is restored from a copy.
struct configuration_number {
    std::uint32_t era = 0; ///< 0 if the store states none.
    std::uint64_t number = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): the linter reports the defaulted comparison falsely.
    auto operator<=>(const configuration_number &) const = default;
};
} // namespace Membership
