#pragma once

#include "LibCore/Time.h"

namespace Forward
{
struct forward_context;
struct route;

/// How long to wait for an attempt before a hedge is sent: a high quantile of the route's recent latencies, bounded so
/// that the hedge can still complete within the route's target latency.
[[nodiscard]] Core::duration hedgeDelay(const route &route, const forward_context &context);
} // namespace Forward
