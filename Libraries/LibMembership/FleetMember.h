#pragma once

#include <cstdint>
#include <string>

namespace Membership
{
/// One daemon, as far as ownership and entries depend on it.
struct fleet_member {
    std::string name;
    std::uint64_t hash = 0; ///< hashName(name), kept since every choice needs it.
    std::string dataCentre;
    bool live = true; ///< False: dead in this daemon's view, but not forgotten.
    bool leaving = false;
    bool operator==(const fleet_member &) const = default;
};
} // namespace Membership
