#pragma once

#include <cstdint>
#include <string>

namespace Membership
{
/// The attributes of a daemon that ownership and entries depend on.
struct fleet_member {
    std::string name;
    std::uint64_t hash = 0; ///< hashName(name), cached because each assignment uses it.
    std::string dataCentre;
    bool live = true; ///< False: dead in this daemon's view, but still in its member table.
    bool leaving = false;
    bool operator==(const fleet_member &) const = default;
};
} // namespace Membership
