#pragma once

#include "LibConfiguration/PriorityClass.h"
#include "LibCore/Time.h"
#include "LibTeams/OverloadState.h"
#include "LibTeams/Refusal.h"

#include <optional>

namespace Teams
{
/// Starts a query that costs `cost` shard requests unless the concurrency limit is reached. Returns nothing if the
/// query may run; `endLoad()` must be called when it ends. Alerts are still admitted when the other classes are
/// refused.
[[nodiscard]] std::optional<refusal> startLoad(overload_state &state, Configuration::priority_class priority,
                                               double cost);

/// Ends a query. The limit decreases if queries use too large a fraction of their time (`latency` of `allowed`), and
/// increases if they do not and the limit is in use. A query that missed its deadline counts as having used all its
/// time.
void endLoad(overload_state &state, Configuration::priority_class priority, double cost, Core::duration latency,
             Core::duration allowed, Core::time_point now);
} // namespace Teams
