#include "LibForward/HedgeDelay.h"

#include "LibForward/ForwardContext.h"
#include "LibForward/Route.h"

#include <algorithm>

namespace Forward
{
static constexpr double hedgeQuantile = 0.92; ///< Pauses and tails hold 5 of 100 answers; the budget allows 20.
static constexpr Core::duration shortestDelay =
    std::chrono::milliseconds(8); ///< Below it queueing is no sign of a pause.
static constexpr double latestPart = 0.45; ///< Of the target latency; leaves the hedge time to answer.

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
