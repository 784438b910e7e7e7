#include "LibBackend/TakeWarmUpRequest.h"

#include "LibBackend/Ownership.h"
#include "LibBackend/ReplicaChoice.h"
#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ReplicaFilter.h"
#include "LibBackend/ServiceState.h"

namespace Backend
{
/// Hedges and retries take precedence: warm-up requests leave this many tokens to them.
static constexpr double reservedTokens = 50.0;

static bool needsWarmUpRequest(const service_state &service, const replica_state &replica, const replica_filter &filter,
                               Core::time_point now)
{
    if (replica.slowStart.level >= completedSlowStartLevel || replica.inFlight > 0 || now < replica.avoidUntil) {
        return false;
    }
    return service.coldSlots > 0 && mayServe(replica, filter) && mayRunSlowStart(service, replica, now);
}

std::optional<std::size_t> takeWarmUpRequest(service_state &service, const replica_filter &filter, Core::time_point now)
{
    if (service.extraLoad.tokens < reservedTokens + 1.0) {
        return std::nullopt;
    }
    const auto found = service.byShard.find(filter.shard);
    if (found == service.byShard.end()) {
        return std::nullopt;
    }
    for (const std::size_t index : found->second) {
        if (needsWarmUpRequest(service, service.replicas[index], filter, now) && takeToken(service.extraLoad)) {
            recordSent(service, index, now);
            return index;
        }
    }
    return std::nullopt;
}
} // namespace Backend
