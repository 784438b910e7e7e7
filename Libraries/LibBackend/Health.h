#pragma once

#include "LibBackend/HealthRequest.h"
#include "LibCore/Time.h"

#include <vector>

namespace Backend
{
struct replica_report;
struct service_state;

/// Interval between health requests to a replica that reported that it is leaving. They detect a new process there.
constexpr std::chrono::seconds healthRequestInterval {5};

/// Takes the health requests that are due. They go to replicas that reported that they are leaving, since these receive
/// no requests whose responses could show their return. Only the owner that runs a replica's slow start sends them.
[[nodiscard]] std::vector<health_request> takeHealthRequests(service_state &service, Core::time_point now);

/// Records the response to a health request. A leaving process stays leaving; a new process begins its slow start.
void recordHealth(service_state &service, const health_request &request, const replica_report &report,
                  Core::time_point now);
} // namespace Backend
