#pragma once

#include "LibCore/Time.h"

#include <optional>

namespace Membership
{
struct overload_state;

/// Updates the state; `meanTimerDelay` is how late the event loop ran its timers on average, if enough of them ran.
/// Returns whether the daemon is overloaded. It stays so for a while after the last long delay, since callers return
/// gradually.
[[nodiscard]] bool updateOverload(overload_state &state, std::optional<Core::duration> meanTimerDelay,
                                  Core::time_point now);
} // namespace Membership
