#include "LibForward/ChooseForRequest.h"

#include "LibForward/ChoiceFilter.h"
#include "LibForward/ChooseReplica.h"
#include "LibForward/ForwardContext.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/RequestLimits.h"
#include "LibForward/RequestState.h"
#include "LibForward/RolloutEvents.h"
#include "LibForward/TrafficConfiguration.h"

#include <algorithm>

namespace Forward
{
static const service_policy *policyOf(const request_plan &plan, const service_state &service)
{
    const auto found = plan.configuration->services.find(service.name);
    return found == plan.configuration->services.end() ? nullptr : &found->second;
}

std::optional<std::size_t> chooseReplicaFor(const request_state &request, std::size_t subrequest, attempt_kind kind,
                                            forward_context &context, Core::time_point now)
{
    const std::size_t service = request.plan.services[subrequest];
    service_state &state = *context.replicaTable.services[service];
    const auto &tried = request.subrequests[subrequest].tried;
    choice_filter filter {.kind = kind,
                          .policy = policyOf(request.plan, state),
                          .allowedRegions = request.plan.matched->allowedRegions,
                          .tried = {tried.data(), tried.size()}};
    const auto rollout = context.rollouts.find(state.name);
    if (rollout == context.rollouts.end()) {
        if (state.hasSeveralVersions) {
            filter.version = &establishedVersion(state);
        }
        return chooseReplica(context.replicaTable, service, filter, now, context.random);
    }
    filter.rollout = &rollout->second;
    filter.side = pickSide(rollout->second, context.random);
    const auto chosen = chooseReplica(context.replicaTable, service, filter, now, context.random);
    const bool isFinal = rollout->second.outcome == rollout_outcome::RolledBack;
    if (chosen || isFinal) {
        return chosen;
    }
    // Either side may have no replicas yet, or none left.
    filter.side = filter.side == Rollout::version_side::New ? Rollout::version_side::Old : Rollout::version_side::New;
    const bool mayUseOtherSide = filter.side == Rollout::version_side::Old || rollout->second.share >= 1.0;
    return mayUseOtherSide ? chooseReplica(context.replicaTable, service, filter, now, context.random) : std::nullopt;
}

/// Whether the request limit of some replica is used up for now.
static bool hasExhaustedLimit(const service_state &service, Core::time_point now)
{
    return std::any_of(service.replicas.begin(), service.replicas.end(), [now](const replica_state &replica) {
        return !replica.removed && !isWithinRequestLimit(replica, attempt_kind::First, now);
    });
}

std::vector<std::optional<std::size_t>> chooseFirstReplicas(request_state &request, forward_context &context,
                                                            Core::time_point now)
{
    std::vector<std::optional<std::size_t>> chosen(request.subrequests.size());
    std::size_t available = chosen.size();
    for (std::size_t index = 0; index < chosen.size(); ++index) {
        const service_state &service = *context.replicaTable.services[request.plan.services[index]];
        chosen[index] = chooseReplicaFor(request, index, attempt_kind::First, context, now);
        request.subrequests[index].isLimited = !chosen[index] && hasExhaustedLimit(service, now);
        const bool mayLeaveOut = available > request.plan.requiredSubrequests;
        if (chosen[index] && mayLeaveOut && isPresumedDown(service.replicas[*chosen[index]], now)) {
            chosen[index].reset();
        }
        available -= chosen[index] ? 0 : 1;
    }
    return chosen;
}
} // namespace Forward
