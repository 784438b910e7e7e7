#include "LibForward/SuspectedRemovals.h"

#include <algorithm>

namespace Forward
{
using namespace std::chrono_literals;

/// Live replicas register again within 2 s after the store recovers; the rest is the latency of that update.
static constexpr Core::duration returnTime = 2300ms;
/// Latency of the removal's update to this daemon plus that of a last request to the replica.
static constexpr Core::duration newsTime = 800ms;

Core::time_point recordMissing(departures &pending, const std::string &id, Core::duration outageDoubt,
                               Core::time_point now)
{
    const Core::duration served = std::max<Core::duration>(pending.drainTime - newsTime, 0ms);
    const Core::duration doubt = std::max(outageDoubt, std::min(returnTime, served));
    return pending.goneAt.try_emplace(id, now + doubt).first->second;
}

void recordPresent(departures &pending, const std::string &id)
{
    pending.goneAt.erase(id);
}

std::vector<std::string> takeGone(departures &pending, Core::time_point now)
{
    std::vector<std::string> gone;
    for (auto entry = pending.goneAt.begin(); entry != pending.goneAt.end();) {
        if (entry->second <= now) {
            gone.push_back(entry->first);
            entry = pending.goneAt.erase(entry);
        } else {
            ++entry;
        }
    }
    return gone;
}
} // namespace Forward
