#pragma once

#include "LibRollout/RouteCounts.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace Rollout
{
/// Lengths of the windows that answers are counted in. Short ones show a late fault at once where traffic is high, long
/// ones where it is low; the longest covers the whole rollout.
inline constexpr std::array<std::chrono::seconds, 4> windowLengths {
    std::chrono::seconds(5), std::chrono::seconds(100), std::chrono::seconds(1000), std::chrono::seconds(100'000'000)};

/// The counts of one route at one daemon: for each window length the latest two windows, by the window's number since
/// the epoch of civil time.
struct route_evidence {
    std::array<std::map<std::uint32_t, route_counts>, windowLengths.size()> windows;
    bool operator==(const route_evidence &) const = default;
};
} // namespace Rollout
