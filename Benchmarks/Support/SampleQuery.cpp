#include "Support/SampleQuery.h"

#include "LibBackend/Ownership.h"
#include "LibBackend/OwnershipView.h"
#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ServiceState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibCore/Verify.h"
#include "LibMembership/ComputeOwnership.h"
#include "LibMembership/Fleet.h"
#include "LibQuery/PlanQuery.h"
#include "LibQuery/QueryEvents.h"
#include "LibQuery/QueryRequest.h"
#include "LibQuery/ShardAnswer.h"
#include "Support/TargetSizeFleet.h"

#include <set>
#include <string>
#include <utility>

namespace Bench
{
Backend::service_state warmService(const Configuration::configuration_document &document, Core::time_point now)
{
    Backend::service_state service;
    Backend::applyConfiguration(service, document, document.services.at("search"), now);
    for (Backend::replica_state &replica : service.replicas) {
        replica.slowStart.level = Backend::completedSlowStartLevel;
    }
    return service;
}

Query::query_plan samplePlan(const Configuration::configuration_document &document, Core::time_point now)
{
    Query::query_request request;
    request.requestId = "vm-0.1";
    request.team = "team-0";
    request.service = "search";
    request.route = "lookup";
    auto plan = Query::planQuery(document, request, "v41", now);
    VERIFY(plan.has_value());
    return std::move(plan.value());
}

Query::shard_answer sampleAnswer(const Query::query_plan &plan, std::size_t shard)
{
    Query::shard_answer answer;
    answer.requestId = plan.requestId;
    answer.snapshot = plan.snapshot;
    answer.shard = plan.shards[shard].name;
    answer.report.incarnation = "i";
    for (int index = 0; index < 3; ++index) {
        answer.items.push_back({answer.shard + "/" + std::to_string(index), static_cast<double>(shard * 3) + index});
    }
    return answer;
}

std::size_t countBranchCalls(const Configuration::configuration_document &document, std::size_t members,
                             std::size_t root)
{
    const Membership::fleet fleet = targetSizeFleet(members, root);
    const Core::time_point now {std::chrono::hours(1)};
    Backend::service_state service = warmService(document, now);
    Backend::applyOwnership(service, Membership::computeOwnership(fleet, document, "search"), now);
    Core::random_engine random(1);
    Query::query_state query;
    query.plan = samplePlan(document, now);
    const Query::query_effects effects = Query::startQuery(query, service, now, random);
    std::set<std::string> peers;
    for (const Query::send_attempt &send : effects.sends) {
        peers.insert(send.target.peer);
    }
    peers.erase("");
    return peers.size();
}
} // namespace Bench
