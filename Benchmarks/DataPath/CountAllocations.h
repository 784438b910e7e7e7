#pragma once

#include <cstdint>

namespace Bench
{
/// Returns how often this thread has called operator new.
[[nodiscard]] std::uint64_t allocationsOfThread();
} // namespace Bench
