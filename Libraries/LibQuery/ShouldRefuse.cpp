#include "LibQuery/ShouldRefuse.h"

#include "LibBackend/ServiceState.h"
#include "LibQuery/QueryPlan.h"

namespace Query
{
/// Maximum mean duration of a shard request as a fraction of the remaining time. It leaves room for the slowest shard
/// of a query, which takes several times the mean.
static double allowedFraction(Configuration::priority_class priority)
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
        return false; // The root has admitted the query; a refusal here would only make it retry elsewhere.
    }
    const double remaining = Core::toSeconds(plan.deadline - now);
    return Core::toSeconds(Backend::expectedDuration(service.load)) > allowedFraction(plan.priority) * remaining;
}
} // namespace Query
