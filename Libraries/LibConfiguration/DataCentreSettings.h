#pragma once

#include <cstdint>
#include <string>

namespace Configuration
{
/// One data centre: its region, and whether operators have taken it out of service.
struct data_centre_settings {
    std::string region;
    bool out = false; ///< True: no new work goes to its backend servers or its daemons.
    std::uint64_t change = 0; ///< The configuration number that last altered `out`; set by the system.
    bool operator==(const data_centre_settings &) const = default;
};
} // namespace Configuration
