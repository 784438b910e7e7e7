#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Backend
{
/// How far one replica has come in its cold start. Daemons exchange these records; of two records of one replica the
/// greater holds, in the order of the fields after the name, so that any order of arrival gives the same.
struct warmth_record {
    std::string replica;
    std::uint64_t configuration = 0; ///< Number of the configuration that last brought the replica back; 0: the first.
    std::uint64_t generation = 0; ///< Grows each time a daemon sees that the replica has turned cold again.
    std::string incarnation; ///< Empty: nobody has heard from the replica.
    std::uint32_t level = 0; ///< 0: cold; each step lets more daemons in; warmestLevel: no limit.
    // NOLINTNEXTLINE(modernize-use-nullptr): the linter reports the defaulted comparison falsely.
    auto operator<=>(const warmth_record &) const = default;
};

/// The level at which a replica takes its full share from every daemon.
constexpr std::uint32_t warmestLevel = 3;
} // namespace Backend
