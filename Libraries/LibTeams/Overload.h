#pragma once

#include "LibConfiguration/PriorityClass.h"
#include "LibCore/Time.h"
#include "LibTeams/OverloadState.h"
#include "LibTeams/Refusal.h"

#include <optional>

namespace Teams
{
/// Starts a query that costs `cost` shard requests unless too much runs already. Returns nothing if it may run; then
/// endLoad() must follow. Alerts may still run when the other classes are refused.
[[nodiscard]] std::optional<refusal> startLoad(overload_state &state, Configuration::priority_class priority,
                                               double cost);

/// Ends a query. The limit falls when queries use too much of their time (`latency` against `allowed`) and rises when
/// they do not and the limit is in use. A query that missed its deadline counts with its whole time.
void endLoad(overload_state &state, Configuration::priority_class priority, double cost, Core::duration latency,
             Core::duration allowed, Core::time_point now);
} // namespace Teams
