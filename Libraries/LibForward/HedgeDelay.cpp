#include "LibForward/HedgeDelay.h"

#include "LibForward/ForwardContext.h"
#include "LibForward/Route.h"

#include <algorithm>

namespace Forward
{
static constexpr double hedgeQuantile = 0.92; ///< About 5 of 100 responses are slow; the budget allows 20.
static constexpr Core::duration shortestDelay = std::chrono::milliseconds(8); ///< Shorter waits are normal queueing.
static constexpr double latestPart = 0.45; ///< Of the target latency; leaves the hedge time to complete.

Core::duration hedgeDelay(const route &route, const forward_context &context)
{
    const Core::duration latest = std::chrono::duration_cast<Core::duration>(route.targetLatency * latestPart);
    const auto found = context.routeLatencies.find(route.name);
    const Core::duration seen =
        found == context.routeLatencies.end() ? Core::duration {} : quantileOf(found->second, hedgeQuantile);
    if (seen == Core::duration {}) {
        return std::max(latest, shortestDelay);
    }
    return std::clamp(seen, shortestDelay, std::max(latest, shortestDelay));
}
} // namespace Forward
