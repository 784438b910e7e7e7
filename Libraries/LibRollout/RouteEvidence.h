#pragma once

#include "LibRollout/RouteCounts.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace Rollout
{
/// Lengths of the windows in which answers are counted. Short windows detect a late fault quickly under high traffic,
/// long ones under low traffic; the longest one covers the complete rollout.
inline constexpr std::array<std::chrono::seconds, 4> windowLengths {
    std::chrono::seconds(5), std::chrono::seconds(100), std::chrono::seconds(1000), std::chrono::seconds(100'000'000)};

/// The counts of one route at one daemon: the latest two windows of each length, by the number of the window since the
/// epoch of civil time.
struct route_evidence {
    std::array<std::map<std::uint32_t, route_counts>, windowLengths.size()> windows;
    bool operator==(const route_evidence &) const = default;
};
} // namespace Rollout
