#pragma once

#include <cstdint>
#include <string>

namespace Configuration
{
/// One data centre: its region, and whether operators have taken it out of service.
struct data_centre_settings {
    std::string region;
    bool out = false; ///< If true, its backend servers and daemons receive no new work.
    std::uint64_t change = 0; ///< Configuration number that last changed `out`; set by the system.
    bool operator==(const data_centre_settings &) const = default;
};
} // namespace Configuration
