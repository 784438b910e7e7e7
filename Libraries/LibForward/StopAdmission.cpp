#include "LibForward/StopAdmission.h"

#include "LibForward/RetryPolicy.h"
#include "LibForward/Route.h"

#include <algorithm>

namespace Forward
{
/// Multiple of the target latency within which nearly all requests are answered.
static constexpr int usualLatencyFactor = 2;

std::optional<Core::duration> timeoutBeforeStop(const route &matched, Core::duration callerTimeout,
                                                Core::time_point exitAt, Core::time_point now)
{
    const Core::duration timeout = std::min<Core::duration>(callerTimeout, matched.timeout);
    const Core::duration left = exitAt - now;
    const Core::duration required = matched.retryPolicy == retry_policy::AtMostOnce
        ? timeout
        : std::min<Core::duration>(timeout, matched.targetLatency * usualLatencyFactor);
    return left < required || left <= Core::duration {} ? std::nullopt : std::optional(std::min(timeout, left));
}
} // namespace Forward
