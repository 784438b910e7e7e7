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
    return view.rank < watchersWanted;
}

/// Scales a delay by a uniformly distributed factor from 0.5 to 1.5.
static Core::duration jitter(Core::duration wait, Core::random_engine &random)
{
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    return Core::fromSeconds(Core::toSeconds(wait) * factor(random));
}

static Core::duration checkInterval(const watch_view &view)
{
    const Core::duration ofFleet = checkIntervalOfFleet * static_cast<std::int64_t>(view.liveMembers);
    return std::max<Core::duration>(ofFleet, shortestCheckInterval);
}

Core::duration waitAfterSuccess(watch_state &state, const watch_view &view, Core::random_engine &random)
{
    state.failures = 0;
    if (holdsWatch(view)) {
        return Core::duration::zero();
    }
    return jitter(checkInterval(view), random);
}

Core::duration waitAfterFailure(watch_state &state, const watch_view &view, Core::random_engine &random)
{
    constexpr std::uint32_t mostDoublings = 20;
    const std::uint32_t doublings = std::min(state.failures, mostDoublings);
    ++state.failures;
    const bool urgent = holdsWatch(view) || view.numberInForce == 0;
    const Core::duration longest = urgent ? Core::duration(longestBackoff) : checkInterval(view);
    const Core::duration backoff = std::min<Core::duration>(firstBackoff * (std::int64_t(1) << doublings), longest);
    return jitter(backoff, random);
}
} // namespace Configuration
