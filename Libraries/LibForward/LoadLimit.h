#pragma once

#include "LibCore/Time.h"

#include <cstddef>
#include <limits>

namespace Forward
{
/// How many gathering requests to one set of shards this daemon runs at once. The limit shrinks while many answers come
/// late and grows while they come in time and the limit is what holds requests back.
struct load_limit {
    double limit = std::numeric_limits<double>::infinity();
    std::size_t running = 0;
    std::size_t mostRunning = 0; ///< In the current window.
    std::size_t finished = 0; ///< In the current window.
    std::size_t inTime = 0; ///< Of these.
    Core::time_point windowStart;
};

/// Whether one more request may start. `priority` 0 is the most urgent; the others leave it some room.
[[nodiscard]] bool mayStart(const load_limit &load, int priority);

/// Whether there is room for second attempts, which take slots from other requests' first ones.
[[nodiscard]] bool mayHedge(const load_limit &load);

void recordStart(load_limit &load);

/// Records the end of a request. `wasInTime` is false for one that came late or not at all.
void recordEnd(load_limit &load, bool wasInTime, Core::time_point now);

/// Records the end of a request that says nothing of the load, such as one whose caller left.
void recordLeft(load_limit &load);
} // namespace Forward
