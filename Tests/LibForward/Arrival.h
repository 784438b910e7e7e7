#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace Simulation
{
/// One request at a replica.
struct arrival {
    std::size_t request = 0;
    std::uint32_t attempt = 0;
    Core::time_point sentAt;
};
} // namespace Simulation
