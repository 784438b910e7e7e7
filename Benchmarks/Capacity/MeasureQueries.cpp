#include "LibBackend/Ownership.h"
#include "LibBackend/OwnershipView.h"
#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ServiceState.h"
#include "LibCore/Verify.h"
#include "LibMembership/ComputeOwnership.h"
#include "LibMembership/Fleet.h"
#include "LibMembership/RendezvousWeight.h"
#include "LibQuery/PlanQuery.h"
#include "LibQuery/QueryEvents.h"
#include "LibQuery/QueryRequest.h"
#include "LibQuery/ShardAnswer.h"
#include "LiveMemory.h"
#include "Measures.h"
#include "ProcessorTime.h"
#include "Support/TargetSizeDocument.h"

#include <set>

namespace Capacity
{
using Configuration::configuration_document;

namespace
{
/// What one query costs a daemon that owns every replica: its decisions, without the sockets.
struct query_cost {
    Core::duration processorTime {};
    std::uint64_t allocations = 0;
    std::int64_t memoryInFlight = 0;
};
} // namespace

static Query::query_plan makePlan(const configuration_document &document, Core::time_point now)
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

static Query::shard_answer makeAnswer(const Query::query_plan &plan, std::size_t shard)
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

static query_cost runQuery(const configuration_document &document, Backend::service_state &service,
                           Core::random_engine &random, Core::time_point &now)
{
    query_cost cost;
    Query::query_plan prototype = makePlan(document, now);
    std::vector<Query::shard_answer> answers;
    answers.reserve(prototype.shards.size());
    for (std::size_t shard = 0; shard < prototype.shards.size(); ++shard) {
        answers.push_back(makeAnswer(prototype, shard));
    }
    const std::int64_t memoryBefore = liveBytes();
    const std::uint64_t allocationsBefore = allocationCount();
    const Core::duration start = threadProcessorTime();
    Query::query_state query;
    query.plan = makePlan(document, now);
    auto effects = Query::startQuery(query, service, now, random);
    cost.memoryInFlight = liveBytes() - memoryBefore;
    const std::vector<Query::send_attempt> sends = std::move(effects.sends);
    now += std::chrono::milliseconds(5);
    for (const Query::send_attempt &send : sends) {
        effects = Query::onAnswer(query, service, send.attempt, std::move(answers[send.shard]), now, random);
    }
    cost.processorTime = threadProcessorTime() - start;
    cost.allocations = allocationCount() - allocationsBefore;
    VERIFY(effects.finished.has_value());
    return cost;
}

static std::vector<measurement> measureDecisions()
{
    measurement time {"root", "decisions of a query, all shards owned", "us", "shards", {}, {}, 520, 25};
    measurement allocations {"root", "allocations of a query", "allocations", "shards", {}, {}, 520, 25};
    measurement memory {"root", "state of a running query", "bytes", "shards", {}, {}, 520, 25};
    for (const std::size_t shards : {65U, 130U, 260U, 520U}) {
        const auto document = Bench::targetSizeDocument(4600, shards);
        Backend::service_state service;
        Core::time_point now {std::chrono::hours(1)};
        Backend::applyConfiguration(service, document, document.services.at("search"), now);
        for (Backend::replica_state &replica : service.replicas) {
            replica.warmth.level = Backend::warmestLevel;
        }
        Core::random_engine random(1);
        query_cost least = runQuery(document, service, random, now);
        constexpr int tries = 20;
        for (int attempt = 0; attempt < tries; ++attempt) {
            const query_cost cost = runQuery(document, service, random, now);
            least.processorTime = std::min(least.processorTime, cost.processorTime);
            least.allocations = std::min(least.allocations, cost.allocations);
        }
        time.values.push_back(Core::toMilliseconds(least.processorTime) * 1000.0);
        allocations.values.push_back(static_cast<double>(least.allocations));
        memory.values.push_back(static_cast<double>(least.memoryInFlight));
        for (measurement *one : {&time, &allocations, &memory}) {
            one->sizes.push_back(static_cast<double>(shards));
        }
    }
    return {time, allocations, memory};
}

/// Counts the peers that a root asks for one query, by the size of the fleet.
static measurement countBranches()
{
    measurement calls {"root", "branch calls of a query to 520 shards", "calls", "daemons", {}, {}, 590, 9};
    const auto document = Bench::targetSizeDocument(4600, 520);
    for (const std::size_t members : {59U, 148U, 295U, 590U}) {
        Membership::fleet fleet;
        fleet.self = "vm-0";
        for (std::size_t index = 0; index < members; ++index) {
            const std::string name = "vm-" + std::to_string(index);
            fleet.members.push_back({name, Membership::hashName(name), "dc-" + std::to_string(index % 4), true, false});
        }
        Backend::service_state service;
        Core::time_point now {std::chrono::hours(1)};
        Backend::applyConfiguration(service, document, document.services.at("search"), now);
        Backend::applyOwnership(service, Membership::computeOwnership(fleet, document, "search"), now);
        for (Backend::replica_state &replica : service.replicas) {
            replica.warmth.level = Backend::warmestLevel;
        }
        Core::random_engine random(1);
        Query::query_state query;
        query.plan = makePlan(document, now);
        const auto effects = Query::startQuery(query, service, now, random);
        std::set<std::string> peers;
        for (const Query::send_attempt &send : effects.sends) {
            peers.insert(send.target.peer);
        }
        peers.erase("");
        calls.sizes.push_back(static_cast<double>(members));
        calls.values.push_back(static_cast<double>(peers.size()));
    }
    return calls;
}

std::vector<measurement> measureQueries()
{
    std::vector<measurement> all = measureDecisions();
    all.push_back(countBranches());
    return all;
}
} // namespace Capacity
