#include "LibConfiguration/WatchPlan.h"

#include "LibConfiguration/WatchCandidate.h"
#include "LibConfiguration/WatchState.h"
#include "LibConfiguration/WatchView.h"

#include <algorithm>
#include <set>

namespace Configuration
{
std::vector<watch_candidate> watchOrder(const std::vector<watch_candidate> &ranked)
{
    std::vector<watch_candidate> order;
    std::vector<watch_candidate> others;
    std::set<std::string> regions;
    order.reserve(ranked.size());
    for (const watch_candidate &candidate : ranked) {
        (regions.insert(candidate.region).second ? order : others).push_back(candidate);
    }
    order.insert(order.end(), others.begin(), others.end());
    return order;
}

bool holdsWatch(const watch_view &view)
{
    return view.rank < targetWatcherCount;
}

/// Scales a delay by a uniformly distributed factor from 0.5 to 1.5.
static Core::duration jitter(Core::duration wait, Core::random_engine &random)
{
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    return Core::fromSeconds(Core::toSeconds(wait) * factor(random));
}

static Core::duration pollInterval(const watch_view &view)
{
    const Core::duration fleetInterval = fleetPollInterval * static_cast<std::int64_t>(view.liveMembers);
    return std::max<Core::duration>(fleetInterval, minimumPollInterval);
}

Core::duration delayAfterSuccess(watch_state &state, const watch_view &view, Core::random_engine &random)
{
    state.failures = 0;
    if (holdsWatch(view)) {
        return Core::duration::zero();
    }
    return jitter(pollInterval(view), random);
}

Core::duration delayAfterFailure(watch_state &state, const watch_view &view, Core::random_engine &random)
{
    constexpr std::uint32_t maximumDoublings = 20;
    const std::uint32_t doublings = std::min(state.failures, maximumDoublings);
    ++state.failures;
    const bool usesShortBackoff = holdsWatch(view) || view.numberInForce == 0;
    const Core::duration maximum = usesShortBackoff ? Core::duration(maximumBackoff) : pollInterval(view);
    const Core::duration backoff = std::min<Core::duration>(initialBackoff * (std::int64_t(1) << doublings), maximum);
    return jitter(backoff, random);
}
} // namespace Configuration
