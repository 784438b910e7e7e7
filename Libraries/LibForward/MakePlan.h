#pragma once

#include "LibCore/Time.h"

#include <memory>

namespace Forward
{
struct forward_context;
struct request_plan;
struct route;
struct traffic_configuration;

/// Plans a request that was received at `now` on a route of the configuration. `callerTimeout` is the timeout that the
/// caller stated; the route's timeout applies as well.
[[nodiscard]] request_plan makePlan(std::shared_ptr<const traffic_configuration> configuration, const route &matched,
                                    Core::duration callerTimeout, forward_context &context, Core::time_point now);
} // namespace Forward
