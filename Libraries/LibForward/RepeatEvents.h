#pragma once

#include "LibCore/Time.h"

namespace Forward
{
struct repeat_budget;
struct repeat_limits;

/// Counts the first request for a service.
void recordFirst(repeat_budget &budget, const repeat_limits &limits, Core::time_point now);

/// Counts one more request and returns true, or returns false if the window has no room for it.
[[nodiscard]] bool takeRepeat(repeat_budget &budget, const repeat_limits &limits, Core::time_point now);
} // namespace Forward
