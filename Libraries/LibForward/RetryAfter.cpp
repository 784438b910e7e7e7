#include "LibForward/RetryAfter.h"

#include "LibForward/ForwardContext.h"
#include "LibForward/RefusalCause.h"
#include "LibForward/ReplicaNotices.h"
#include "LibForward/RequestState.h"

#include <algorithm>
#include <random>

namespace Forward
{
using namespace std::chrono_literals;

namespace
{
struct delay_range {
    Core::duration minimum;
    Core::duration maximum;
};
} // namespace

static delay_range delayRange(refusal_cause cause)
{
    switch (cause) {
    case refusal_cause::Overload:
        // An overloaded replica has processed some queued requests by then, and callers keep most of their time.
        return {30ms, 150ms};
    case refusal_cause::Stopping:
        return {0ms, 30ms}; // Any other daemon can serve the request now.
    case refusal_cause::Unavailable:
    case refusal_cause::Starting:
        // A new daemon has its configuration within about a second; replicas that crash are back after a few.
        return {300ms, 900ms};
    }
    return {30ms, 150ms};
}

refusal_cause refusalCauseOf(const request_state &request)
{
    // Without subrequests the concurrency limit refused the request.
    const bool lacksCapacity =
        std::any_of(request.subrequests.begin(), request.subrequests.end(),
                    [](const subrequest_state &subrequest) { return subrequest.refusals > 0 || subrequest.isLimited; });
    return request.subrequests.empty() || lacksCapacity ? refusal_cause::Overload : refusal_cause::Unavailable;
}

Core::duration retryAfterFor(const request_state &request, forward_context &context, Core::time_point now)
{
    if (const std::optional<Core::time_point> until = quietUntil(request, context.replicaTable, now)) {
        const Core::duration left = *until - now;
        const Core::duration longestSpread = std::clamp<Core::duration>(left / 10, 50ms, 1s);
        std::uniform_int_distribution<Core::duration::rep> spread(0, longestSpread.count());
        return left + Core::duration(spread(context.random));
    }
    return randomRetryAfter(refusalCauseOf(request), context.random);
}

Core::duration randomRetryAfter(refusal_cause cause, Core::random_engine &random)
{
    const delay_range range = delayRange(cause);
    std::uniform_int_distribution<Core::duration::rep> distribution(range.minimum.count(), range.maximum.count());
    return Core::duration(distribution(random));
}
} // namespace Forward
