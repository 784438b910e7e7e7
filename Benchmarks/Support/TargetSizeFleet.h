#pragma once

#include <cstddef>

namespace Membership
{
struct fleet;
}

namespace Bench
{
/// Makes a fleet of live members "vm-0", "vm-1" and so on over the four data centres of targetSizeDocument(), seen by
/// the member with index `self`.
[[nodiscard]] Membership::fleet targetSizeFleet(std::size_t members, std::size_t self = 0);
} // namespace Bench
