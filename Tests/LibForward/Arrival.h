#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace Simulation
{
/// An attempt that has arrived at a simulated replica.
struct arrival {
    std::size_t request = 0;
    std::uint32_t attempt = 0;
    Core::time_point sentAt;
};
} // namespace Simulation
