#include "LibBackend/ReplicaChoice.h"
#include "LibBackend/ReplicaFilter.h"
#include "LibBackend/ServiceState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibQuery/MergeItems.h"
#include "LibQuery/QueryEvents.h"
#include "LibQuery/ShardAnswer.h"
#include "Support/SampleQuery.h"
#include "Support/TargetSizeDocument.h"

#include <benchmark/benchmark.h>

#include <string>
#include <utility>
#include <vector>

static constexpr std::size_t replicas = 4600;
static constexpr std::size_t mostShards = 520;

static void planQuery(benchmark::State &state)
{
    const auto document = Bench::targetSizeDocument(replicas, mostShards);
    for (auto _ : state) {
        benchmark::DoNotOptimize(Bench::samplePlan(document, Core::time_point(std::chrono::hours(1))));
    }
}
BENCHMARK(planQuery);

static void chooseReplica(benchmark::State &state)
{
    const Core::time_point now {std::chrono::hours(1)};
    const auto document = Bench::targetSizeDocument(replicas, mostShards);
    const Backend::service_state service = Bench::warmService(document, now);
    Core::random_engine random(1);
    Backend::replica_filter filter;
    filter.shard = "shard-7";
    for (auto _ : state) {
        benchmark::DoNotOptimize(Backend::chooseReplica(service, filter, now, random));
    }
}
BENCHMARK(chooseReplica);

/// Starts a query and takes every answer.
static void runQuery(benchmark::State &state)
{
    const auto shards = static_cast<std::size_t>(state.range(0));
    const auto document = Bench::targetSizeDocument(replicas, shards);
    Core::time_point now {std::chrono::hours(1)};
    Backend::service_state service = Bench::warmService(document, now);
    Core::random_engine random(1);
    for (auto _ : state) {
        state.PauseTiming();
        Query::query_state query;
        query.plan = Bench::samplePlan(document, now);
        std::vector<Query::shard_answer> answers;
        for (std::size_t shard = 0; shard < query.plan.shards.size(); ++shard) {
            answers.push_back(Bench::sampleAnswer(query.plan, shard));
        }
        state.ResumeTiming();
        Query::query_effects effects = Query::startQuery(query, service, now, random);
        const std::vector<Query::send_attempt> sends = std::move(effects.sends);
        now += std::chrono::milliseconds(5);
        for (const Query::send_attempt &send : sends) {
            effects = Query::onAnswer(query, service, send.attempt, std::move(answers[send.shard]), now, random);
        }
        benchmark::DoNotOptimize(effects);
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) * state.range(0));
}
BENCHMARK(runQuery)->Arg(65)->Arg(mostShards)->Unit(benchmark::kMicrosecond);

/// Wakes a running query at which nothing is due.
static void wakeQuery(benchmark::State &state)
{
    const auto document = Bench::targetSizeDocument(replicas, mostShards);
    const Core::time_point now {std::chrono::hours(1)};
    Backend::service_state service = Bench::warmService(document, now);
    Core::random_engine random(1);
    Query::query_state query;
    query.plan = Bench::samplePlan(document, now);
    static_cast<void>(Query::startQuery(query, service, now, random));
    for (auto _ : state) {
        benchmark::DoNotOptimize(Query::onTimer(query, service, now, random));
    }
}
BENCHMARK(wakeQuery);

static void mergeAnswers(benchmark::State &state)
{
    const auto document = Bench::targetSizeDocument(replicas, mostShards);
    const Query::query_plan plan = Bench::samplePlan(document, Core::time_point(std::chrono::hours(1)));
    std::vector<Query::shard_answer> answers;
    for (std::size_t shard = 0; shard < plan.shards.size(); ++shard) {
        answers.push_back(Bench::sampleAnswer(plan, shard));
    }
    for (auto _ : state) {
        std::vector<Query::result_item> best;
        for (const Query::shard_answer &answer : answers) {
            std::vector<Query::result_item> items = answer.items;
            Query::mergeItems(best, std::move(items));
        }
        Query::sortItems(best);
        benchmark::DoNotOptimize(best);
    }
}
BENCHMARK(mergeAnswers)->Unit(benchmark::kMicrosecond);
