#pragma once

#include <cstdint>

namespace Processes
{
/// Returns a TCP port on 127.0.0.1 that was free a moment ago. Each call returns another one.
[[nodiscard]] std::uint16_t findFreePort();
} // namespace Processes
