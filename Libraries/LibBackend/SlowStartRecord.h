#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Backend
{
/// Slow-start progress of one replica. Daemons exchange these records. Of two records of one replica the greater one
/// applies, compared by the fields after the name in order, so that the result does not depend on the order of arrival.
struct slow_start_record {
    std::string replica;
    std::uint64_t configuration = 0; ///< Number of the configuration that last brought the replica back; 0: the first.
    std::uint64_t generation = 0; ///< Incremented each time a daemon detects that the replica is cold again.
    std::string incarnation; ///< Empty: no daemon has received a report from the replica.
    std::uint32_t level = 0; ///< 0: cold; each level admits more daemons; `completedSlowStartLevel`: no limit.
    // NOLINTNEXTLINE(modernize-use-nullptr): the linter reports the defaulted comparison falsely.
    auto operator<=>(const slow_start_record &) const = default;
};

/// The level at which a replica has completed its slow start and receives its full load from every daemon.
constexpr std::uint32_t completedSlowStartLevel = 3;
} // namespace Backend
