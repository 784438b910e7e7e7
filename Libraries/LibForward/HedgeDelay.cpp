#include "LibForward/HedgeDelay.h"

#include "LibForward/ForwardContext.h"
#include "LibForward/Route.h"

#include <algorithm>

namespace Forward
{
/// Pauses and tail latencies affect about 5 of 100 responses; the retry budget allows 20.
static constexpr double hedgeQuantile = 0.92;
/// Shorter waits are normal queueing.
static constexpr Core::duration minimumHedgeDelay = std::chrono::milliseconds(8);
static constexpr double maximumDelayFraction = 0.45; ///< Of the target latency; leaves the hedge time to complete.

Core::duration hedgeDelay(const route &route, const forward_context &context)
{
    const Core::duration maximumDelay =
        std::chrono::duration_cast<Core::duration>(route.targetLatency * maximumDelayFraction);
    const auto found = context.routeLatencies.find(route.name);
    const Core::duration observedDelay =
        found == context.routeLatencies.end() ? Core::duration {} : quantileOf(found->second, hedgeQuantile);
    if (observedDelay == Core::duration {}) {
        return std::max(maximumDelay, minimumHedgeDelay);
    }
    return std::clamp(observedDelay, minimumHedgeDelay, std::max(maximumDelay, minimumHedgeDelay));
}
} // namespace Forward
