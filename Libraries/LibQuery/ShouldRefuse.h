#pragma once

#include "LibCore/Time.h"

namespace Backend
{
struct service_state;
}

namespace Query
{
struct query_plan;

/// Returns whether the service is so loaded that a query started now would probably miss its deadline. Refusing such a
/// query before any of it runs keeps the queues short. Alerts are refused last.
[[nodiscard]] bool shouldRefuse(const query_plan &plan, const Backend::service_state &service, Core::time_point now);
} // namespace Query
