#include "LibForward/SuspectedRemovals.h"

#include <algorithm>

namespace Forward
{
using namespace std::chrono_literals;

/// Live replicas register again within 2 s after the store recovers; the rest is the latency of that update.
static constexpr Core::duration registrationRecoveryTime = 2300ms;
/// Latency of the removal's update to the first daemon plus that of a last request to the replica.
static constexpr Core::duration removalLatency = 800ms;

Core::time_point recordMissing(suspected_removals &pending, const std::string &id, Core::duration outageGracePeriod,
                               Core::time_point learnedAt)
{
    const Core::duration remainingDrainTime = std::max<Core::duration>(pending.drainTime - removalLatency, 0ms);
    const Core::duration gracePeriod =
        std::max(outageGracePeriod, std::min(registrationRecoveryTime, remainingDrainTime));
    return pending.removedAt.try_emplace(id, learnedAt + gracePeriod).first->second;
}

void recordPresent(suspected_removals &pending, const std::string &id)
{
    pending.removedAt.erase(id);
}

std::vector<std::string> takeRemoved(suspected_removals &pending, Core::time_point now)
{
    std::vector<std::string> removed;
    for (auto suspected = pending.removedAt.begin(); suspected != pending.removedAt.end();) {
        if (suspected->second <= now) {
            removed.push_back(suspected->first);
            suspected = pending.removedAt.erase(suspected);
        } else {
            ++suspected;
        }
    }
    return removed;
}
} // namespace Forward
