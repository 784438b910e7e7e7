#pragma once

#include <cstddef>
#include <cstdint>

namespace Bench
{
/// Bytes that are allocated now by operator new, as the allocator rounds them.
[[nodiscard]] std::int64_t liveBytes();
/// Calls of operator new since the start.
[[nodiscard]] std::uint64_t allocationCount();
/// Bytes that operator new has given out since the start, as the allocator rounds them.
[[nodiscard]] std::uint64_t allocatedBytes();
} // namespace Bench
