#include "LibMembership/Overload.h"

#include "LibMembership/OverloadState.h"

namespace Membership
{
using namespace std::chrono_literals;

static constexpr Core::duration overloadDelay = 25ms; ///< Each step of a request waits about as long.
static constexpr Core::duration overloadHold =
    10s; ///< Longer than most callers keep the addresses that they were given.

bool updateOverload(overload_state &state, std::optional<Core::duration> meanTimerDelay, Core::time_point now)
{
    if (meanTimerDelay && *meanTimerDelay > overloadDelay) {
        state.overloadedUntil = now + overloadHold;
    }
    return now < state.overloadedUntil;
}
} // namespace Membership
