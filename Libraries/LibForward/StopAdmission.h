#pragma once

#include "LibCore/Time.h"

#include <optional>

/// Which requests a daemon still takes after it was told to stop. A request that is passed on and cut off with the
/// process costs its caller more than one that is refused at once, and it may have run.
namespace Forward
{
struct route;

/// Returns the time that a request of the route may take, so that it ends before the daemon exits at `exitAt`. Returns
/// nothing if the request must be refused: one that may run only once must have its whole timeout left, and one that
/// may be repeated enough time to be answered usually.
[[nodiscard]] std::optional<Core::duration> timeoutBeforeStop(const route &matched, Core::duration callerTimeout,
                                                              Core::time_point exitAt, Core::time_point now);
} // namespace Forward
