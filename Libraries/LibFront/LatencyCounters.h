#pragma once

#include "LibCore/Time.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace Front
{
/// Latencies counted since the start of the process, as a cumulative histogram wants them.
struct latency_counters {
    /// Upper edges. Target latencies lie between some ten milliseconds and a second.
    static constexpr std::array<std::chrono::milliseconds, 12> edges {
        std::chrono::milliseconds(5),    std::chrono::milliseconds(10),   std::chrono::milliseconds(20),
        std::chrono::milliseconds(40),   std::chrono::milliseconds(80),   std::chrono::milliseconds(120),
        std::chrono::milliseconds(160),  std::chrono::milliseconds(250),  std::chrono::milliseconds(500),
        std::chrono::milliseconds(1000), std::chrono::milliseconds(2500), std::chrono::milliseconds(5000)};
    std::array<std::uint64_t, edges.size() + 1> counts {}; ///< The last one: beyond every edge.
    Core::duration sum {};
};

void countLatency(latency_counters &counters, Core::duration latency);
} // namespace Front
