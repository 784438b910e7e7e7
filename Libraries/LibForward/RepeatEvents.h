#pragma once

#include "LibCore/Time.h"

#include <cstddef>

namespace Forward
{
struct repeat_budget;
struct repeat_limits;

/// One daemon's part of the fleet's slack. Half of it is given out: a daemon that is replaced within a window has spent
/// its part already, and its successor earns as much again.
[[nodiscard]] double partOfSlack(double fleetSlack, std::size_t widestFleet);

/// Counts the first request for a service.
void recordFirst(repeat_budget &budget, const repeat_limits &limits, Core::time_point now);

/// Counts one more request and returns true, or returns false if the window has no room for it.
[[nodiscard]] bool takeRepeat(repeat_budget &budget, const repeat_limits &limits, Core::time_point now);
} // namespace Forward
