#include "LibBackend/OwnershipView.h"
#include "LibBackend/ServiceState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibMembership/ComputeOwnership.h"
#include "LibMembership/Fleet.h"
#include "LibQuery/QueryEvents.h"
#include "LibQuery/ShardAnswer.h"
#include "Support/ProcessorTime.h"
#include "Support/SampleQuery.h"
#include "Support/TargetSizeDocument.h"
#include "Support/TargetSizeFleet.h"

#include <algorithm>
#include <cstdio>
#include <utility>
#include <vector>

/// Ratios of processor times within one run, which show whether work grows as the target assumes. The two sizes are
/// measured in turn, and the median of many turns is compared, so that other load on the machine meets both alike.
namespace
{
constexpr std::size_t replicas = 4600;
constexpr std::size_t shards = 520;
constexpr int turns = 31;

struct measured_ratio {
    const char *name;
    double value;
    double most;
};
} // namespace

static double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Returns the processor time of the decisions of one query, by shard.
static double timeByShard(const Configuration::configuration_document &document, Backend::service_state &service,
                          Core::random_engine &random, Core::time_point now)
{
    Query::query_state query;
    query.plan = Bench::samplePlan(document, now);
    std::vector<Query::shard_answer> answers;
    for (std::size_t shard = 0; shard < query.plan.shards.size(); ++shard) {
        answers.push_back(Bench::sampleAnswer(query.plan, shard));
    }
    const Core::duration start = Bench::threadProcessorTime();
    Query::query_effects effects = Query::startQuery(query, service, now, random);
    const std::vector<Query::send_attempt> sends = std::move(effects.sends);
    for (const Query::send_attempt &send : sends) {
        effects = Query::onAnswer(query, service, send.attempt, std::move(answers[send.shard]),
                                  now + std::chrono::milliseconds(5), random);
    }
    return Core::toSeconds(Bench::threadProcessorTime() - start) / static_cast<double>(answers.size());
}

/// The decisions of a query must cost each shard the same, however many shards there are: linear, not quadratic, with
/// room for what a larger working set costs.
static measured_ratio compareQueries()
{
    constexpr std::size_t fewShards = 65;
    constexpr int queriesPerTurn = 8;
    const auto small = Bench::targetSizeDocument(replicas * fewShards / shards, fewShards);
    const auto large = Bench::targetSizeDocument(replicas, shards);
    Core::time_point now {std::chrono::hours(1)};
    Backend::service_state smallService = Bench::warmService(small, now);
    Backend::service_state largeService = Bench::warmService(large, now);
    Core::random_engine random(1);
    std::vector<double> ratios;
    for (int turn = 0; turn < turns; ++turn) {
        double smallTime = 0.0;
        double largeTime = 0.0;
        for (int query = 0; query < queriesPerTurn; ++query) {
            now += std::chrono::seconds(1);
            smallTime += timeByShard(small, smallService, random, now);
            largeTime += timeByShard(large, largeService, random, now);
        }
        ratios.push_back(largeTime / smallTime);
    }
    return {"decisions a shard, 520 shards to 65", medianOf(std::move(ratios)), 2.0};
}

/// Ten times the members may take ten times as long, and a little more for the sorting.
static measured_ratio compareOwnership()
{
    const auto document = Bench::targetSizeDocument(replicas, shards);
    const Membership::fleet small = Bench::targetSizeFleet(59);
    const Membership::fleet large = Bench::targetSizeFleet(590);
    std::vector<double> ratios;
    for (int turn = 0; turn < turns; ++turn) {
        const auto timeOf = [&document](const Membership::fleet &fleet) {
            const Core::duration start = Bench::threadProcessorTime();
            static_cast<void>(Membership::computeOwnership(fleet, document, "search"));
            return Core::toSeconds(Bench::threadProcessorTime() - start);
        };
        const double smallTime = timeOf(small);
        ratios.push_back(timeOf(large) / smallTime);
    }
    return {"ownership, 590 members to 59", medianOf(std::move(ratios)), 12.0};
}

int main()
{
    bool passed = true;
    for (const measured_ratio &ratio : {compareQueries(), compareOwnership()}) {
        const bool within = ratio.value <= ratio.most;
        std::printf("%-6s %-40s %8.3f  <= %g\n", within ? "ok" : "BROKEN", ratio.name, ratio.value, ratio.most);
        passed = passed && within;
    }
    return passed ? 0 : 1;
}
