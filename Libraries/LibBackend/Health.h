#pragma once

#include "LibBackend/HealthRequest.h"
#include "LibCore/Time.h"

#include <vector>

namespace Backend
{
struct replica_report;
struct service_state;

/// How often a replica that said it is leaving is asked whether a new process has taken its place.
constexpr std::chrono::seconds healthPeriod {5};

/// Takes the health requests that are due: to replicas that said themselves that they are leaving, since no work goes
/// there that could show their return. Of all daemons only the one that warms a replica asks it.
[[nodiscard]] std::vector<health_request> takeHealthRequests(service_state &service, Core::time_point now);

/// Records the answer to a health request. A process that is leaving stays so; a new one starts its cold start.
void recordHealth(service_state &service, const health_request &request, const replica_report &report,
                  Core::time_point now);
} // namespace Backend
