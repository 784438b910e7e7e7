#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Forward
{
/// The daemons that were active recently. One that has just been replaced may still send requests, and has used up its
/// part of what the fleet may send in a window.
struct active_history {
    std::unordered_map<std::uint64_t, Core::time_point> lastActiveAt; ///< By the hash of the daemon's name.
};

/// Records the daemons that are active now. Returns the number of daemons that were active within the last `retention`.
[[nodiscard]] std::size_t countRecentlyActive(active_history &history, const std::vector<std::uint64_t> &activeHashes,
                                              Core::duration retention, Core::time_point now);
} // namespace Forward
