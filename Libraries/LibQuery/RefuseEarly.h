#pragma once

#include "LibCore/Time.h"

namespace Backend
{
struct service_state;
}

namespace Query
{
struct query_plan;

/// Whether the service holds so much work that a query which starts now would hardly end before its deadline. Refusing
/// it while it is still not run keeps the queues short; alerts are let in longest.
[[nodiscard]] bool shouldRefuse(const query_plan &plan, const Backend::service_state &service, Core::time_point now);
} // namespace Query
