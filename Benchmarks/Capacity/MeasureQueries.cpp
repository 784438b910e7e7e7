#include "LibBackend/ServiceState.h"
#include "LibCore/Verify.h"
#include "LibQuery/QueryEvents.h"
#include "LibQuery/ShardAnswer.h"
#include "Measures.h"
#include "Support/LiveMemory.h"
#include "Support/ProcessorTime.h"
#include "Support/SampleQuery.h"
#include "Support/TargetSizeDocument.h"

#include <algorithm>
#include <utility>

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

static query_cost runQuery(const configuration_document &document, Backend::service_state &service,
                           Core::random_engine &random, Core::time_point &now)
{
    query_cost cost;
    Query::query_plan prototype = Bench::samplePlan(document, now);
    std::vector<Query::shard_answer> answers;
    answers.reserve(prototype.shards.size());
    for (std::size_t shard = 0; shard < prototype.shards.size(); ++shard) {
        answers.push_back(Bench::sampleAnswer(prototype, shard));
    }
    const std::int64_t memoryBefore = Bench::liveBytes();
    const std::uint64_t allocationsBefore = Bench::allocationCount();
    const Core::duration start = Bench::threadProcessorTime();
    Query::query_state query;
    query.plan = Bench::samplePlan(document, now);
    auto effects = Query::startQuery(query, service, now, random);
    cost.memoryInFlight = Bench::liveBytes() - memoryBefore;
    const std::vector<Query::send_attempt> sends = std::move(effects.sends);
    now += std::chrono::milliseconds(5);
    for (const Query::send_attempt &send : sends) {
        effects = Query::onAnswer(query, service, send.attempt, std::move(answers[send.shard]), now, random);
    }
    cost.processorTime = Bench::threadProcessorTime() - start;
    cost.allocations = Bench::allocationCount() - allocationsBefore;
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
        Core::time_point now {std::chrono::hours(1)};
        Backend::service_state service = Bench::warmService(document, now);
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
        calls.sizes.push_back(static_cast<double>(members));
        calls.values.push_back(static_cast<double>(Bench::countBranchCalls(document, members, 0)));
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
