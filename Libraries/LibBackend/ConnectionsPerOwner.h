#pragma once

#include <cstdint>

namespace Backend
{
/// Returns the number of connections that each owner may hold to a replica, such that all owners and the replacements
/// of some of them together stay within the replica's limit; 0 if the limit is too low for that many owners.
[[nodiscard]] std::uint32_t connectionsPerOwner(std::uint32_t connectionLimit, std::uint32_t owners);
} // namespace Backend
