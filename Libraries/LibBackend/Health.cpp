#include "LibBackend/Health.h"

#include "LibBackend/Ownership.h"
#include "LibBackend/ServiceState.h"
#include "LibBackend/SlowStart.h"

namespace Backend
{
static bool needsHealthRequest(const service_state &service, const replica_state &replica, Core::time_point now)
{
    if (!replica.reportedLeaving || replica.removed || replica.dataCentreOut || replica.settings.leaving) {
        return false;
    }
    return now - replica.lastHealthRequestAt >= healthRequestInterval && mayRunSlowStart(service, replica, now);
}

std::vector<health_request> takeHealthRequests(service_state &service, Core::time_point now)
{
    std::vector<health_request> due;
    for (replica_state &replica : service.replicas) {
        if (needsHealthRequest(service, replica, now)) {
            replica.lastHealthRequestAt = now;
            due.push_back({replica.name, replica.settings.address});
        }
    }
    return due;
}

void recordHealth(service_state &service, const health_request &request, const replica_report &report,
                  Core::time_point now)
{
    const auto found = service.byName.find(request.replica);
    if (found == service.byName.end()) {
        return;
    }
    replica_state &replica = service.replicas[found->second];
    // If the replica no longer counts as leaving or its address has changed, newer information has arrived since the
    // health request was sent.
    if (replica.reportedLeaving && replica.settings.address == request.address) {
        applyReport(replica, report, now);
    }
}
} // namespace Backend
