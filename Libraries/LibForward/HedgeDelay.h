#pragma once

#include "LibCore/Time.h"

namespace Forward
{
struct forward_context;
struct route;

/// How long an attempt may take until a second one is sent: a high quantile of the route's recent latencies, early
/// enough that the second one can still answer within the route's target latency.
[[nodiscard]] Core::duration hedgeDelay(const route &route, const forward_context &context);
} // namespace Forward
