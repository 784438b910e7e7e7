#include "LibForward/MakePlan.h"

#include "LibForward/ForwardContext.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/RequestPlan.h"
#include "LibForward/RouteTable.h"
#include "LibForward/TrafficConfiguration.h"

#include <algorithm>
#include <cmath>

namespace Forward
{
using namespace std::chrono_literals;

/// Time for merging the results and for the response's network latency to the caller.
static constexpr Core::duration responseMargin = 24ms;
static constexpr double maximumMarginFraction = 0.25; ///< Of the target latency.
/// The last possible response is sent this long before the caller's timeout, so that it still arrives.
static constexpr Core::duration callerDeadlineMargin = 10ms;
/// Prevents floating-point error from rounding a coverage such as 0.75 of 4 shards up to 4.
static constexpr double roundingTolerance = 1e-9;

static std::size_t requiredSubrequests(const route &matched)
{
    const double requiredCount = matched.minimumCoverage * static_cast<double>(matched.shards.size());
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(requiredCount - roundingTolerance)));
}

request_plan makePlan(std::shared_ptr<const traffic_configuration> configuration, const route &matched,
                      Core::duration callerTimeout, forward_context &context, Core::time_point now)
{
    request_plan plan;
    plan.configuration = std::move(configuration);
    plan.matched = &matched;
    plan.receivedAt = now;
    const Core::duration effectiveTimeout = std::min(callerTimeout, matched.timeout);
    plan.callerDeadline = now + std::max<Core::duration>(effectiveTimeout - callerDeadlineMargin, effectiveTimeout / 2);
    // A caller's first attempt states the route's full timeout; a shorter one means that this is a retry.
    plan.callerElapsedTime = std::max<Core::duration>(matched.timeout - effectiveTimeout, {});
    const auto margin = std::min<Core::duration>(
        responseMargin, std::chrono::duration_cast<Core::duration>(matched.targetLatency * maximumMarginFraction));
    plan.partialResponseDeadline = now + std::max<Core::duration>(matched.targetLatency - margin, 0ms);
    if (matched.isScatterGather()) {
        for (const std::string &shard : matched.shards) {
            plan.services.push_back(serviceIndex(context.replicaTable, shard));
        }
        plan.requiredSubrequests = requiredSubrequests(matched);
    } else {
        plan.services.push_back(serviceIndex(context.replicaTable, pickService(matched, context.random)));
    }
    return plan;
}
} // namespace Forward
