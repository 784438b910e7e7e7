#pragma once

#include <cstddef>
#include <cstdint>

namespace Membership
{
/// Number of replaced VMs whose connections may outlast them. Room is reserved for these connections where every member
/// owns every replica.
constexpr std::uint32_t reservedReplacements = 2;

/// Returns the number of daemons that connect to one replica, at most `members`. `configured` 0 selects it
/// automatically: all members if the replica's connection limit allows each at least two connections, otherwise as many
/// as can hold at least two each, adjusted so that each member can own nearly the same number of the `groups`.
[[nodiscard]] std::size_t ownerCount(std::uint32_t configured, std::uint32_t connectionLimit, std::size_t members,
                                     std::size_t groups);
} // namespace Membership
