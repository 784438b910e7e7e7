#pragma once

#include "LibCore/Time.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace Front
{
/// Latency histogram since the start of the process, in the buckets of the exported cumulative histogram.
struct latency_counters {
    /// Upper bounds of the buckets. Target latencies range from some tens of milliseconds to one second.
    static constexpr std::array<std::chrono::milliseconds, 12> upperBounds {
        std::chrono::milliseconds(5),    std::chrono::milliseconds(10),   std::chrono::milliseconds(20),
        std::chrono::milliseconds(40),   std::chrono::milliseconds(80),   std::chrono::milliseconds(120),
        std::chrono::milliseconds(160),  std::chrono::milliseconds(250),  std::chrono::milliseconds(500),
        std::chrono::milliseconds(1000), std::chrono::milliseconds(2500), std::chrono::milliseconds(5000)};
    std::array<std::uint64_t, upperBounds.size() + 1> counts {}; ///< The last count is for latencies above all bounds.
    Core::duration sum {};
};

void recordLatency(latency_counters &counters, Core::duration latency);
} // namespace Front
