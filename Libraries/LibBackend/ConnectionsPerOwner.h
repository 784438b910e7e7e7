#pragma once

#include <cstdint>

namespace Backend
{
/// Connections that each owner may hold to a replica, so that all owners together, and the replacement of some of
/// them, stay within the replica's limit; 0 if the limit is too small for that many owners.
[[nodiscard]] std::uint32_t connectionsPerOwner(std::uint32_t connectionLimit, std::uint32_t owners);
} // namespace Backend
