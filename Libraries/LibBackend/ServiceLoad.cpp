#include "LibBackend/ServiceLoad.h"

#include "LibCore/Verify.h"

#include <cmath>

namespace Backend
{
static constexpr double decaySeconds = 0.5;

/// Decays the counters up to `now`. Only time with requests in flight counts, since idle time contains no information
/// about the rate at which requests end.
static void advance(service_load &load, Core::time_point now)
{
    const double seconds = Core::toSeconds(now - load.updatedAt);
    load.updatedAt = now;
    if (load.inFlight == 0 || seconds <= 0.0) {
        return;
    }
    const double decay = std::exp(-seconds / decaySeconds);
    load.recentCompletions *= decay;
    load.busyTime = load.busyTime * decay + Core::real_seconds(seconds);
}

void recordStarted(service_load &load, std::size_t requests, Core::time_point now)
{
    advance(load, now);
    load.inFlight += requests;
}

void recordEnded(service_load &load, Core::time_point now)
{
    VERIFY(load.inFlight > 0);
    advance(load, now);
    --load.inFlight;
    load.recentCompletions += 1.0;
}

Core::duration expectedDuration(const service_load &load)
{
    constexpr double minimumCompletions = 20.0;
    if (load.inFlight == 0 || load.recentCompletions < minimumCompletions) {
        return Core::duration::zero();
    }
    return std::chrono::duration_cast<Core::duration>(static_cast<double>(load.inFlight + load.waiting) * load.busyTime
                                                      / load.recentCompletions);
}
} // namespace Backend
