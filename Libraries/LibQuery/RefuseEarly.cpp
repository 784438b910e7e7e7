#include "LibQuery/RefuseEarly.h"

#include "LibBackend/ServiceState.h"
#include "LibQuery/QueryPlan.h"

namespace Query
{
/// The part of the time remaining that the mean shard request may need. The slowest shard of a query takes a few times
/// the mean.
static double allowedPart(Configuration::priority_class priority)
{
    switch (priority) {
    case Configuration::priority_class::Alert:
        return 0.4;
    case Configuration::priority_class::Lookup:
        return 0.15;
    case Configuration::priority_class::Ordinary:
        return 0.1;
    }
    return 0.1;
}

bool shouldRefuse(const query_plan &plan, const Backend::service_state &service, Core::time_point now)
{
    if (plan.ownReplicasOnly) {
        return false; // The root decided; a second refusal would only send the shard elsewhere.
    }
    const double remaining = Core::toSeconds(plan.deadline - now);
    return Core::toSeconds(Backend::expectedDuration(service.load)) > allowedPart(plan.priority) * remaining;
}
} // namespace Query
