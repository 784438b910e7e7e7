#include "Policy/Load.h"
#include "Policy/MakeDocument.h"
#include "Policy/Quantile.h"
#include "Policy/QueryDriver.h"
#include "Policy/Scenarios.h"

#include <algorithm>
#include <string>

namespace Bench
{
namespace
{
constexpr std::size_t shards = 25;
constexpr std::size_t replicasPerShard = 3;
constexpr double load = 0.6;
constexpr double stragglerPart = 0.01;

enum class cancellation {
    Honoured,
    Ignored,
};

enum class policy {
    Full,
    NoHedging,
    RandomReplica, ///< Without hedging too.
};

struct run_result {
    double p99 = 0.0; ///< Of the whole query, in milliseconds.
    double extraLoad = 0.0;
};

run_result run(std::uint32_t slots, cancellation honoured, policy choice, std::uint64_t seed)
{
    Configuration::configuration_document document = makeDocument(shards, replicasPerShard, slots);
    if (choice != policy::Full) {
        document.tier.hedgeBudget = 0.0;
    }
    fake_replica_settings replica;
    replica.slots = slots;
    replica.stragglerPart = stragglerPart;
    replica.honoursCancellation = honoured == cancellation::Honoured;
    driver_settings settings;
    settings.seed = seed;
    settings.remembersReplicas = choice != policy::RandomReplica;
    query_driver driver(document, settings, replica);
    constexpr std::chrono::seconds warmUp {2};
    constexpr std::chrono::seconds measured {5};
    const Core::time_point start = driver.events.now() + warmUp;
    driver.offer(queriesPerSecond(load, replicasPerShard, replica), start + measured);
    driver.events.runUntil(start + measured + std::chrono::seconds(2));
    return {latencyQuantile(driver.records, 0.99, start), driver.extraLoad()};
}

void addRows(std::vector<bench_row> &rows, std::uint32_t slots, cancellation honoured)
{
    const std::vector<std::uint64_t> seeds {1, 2, 3};
    const bool isHonoured = honoured == cancellation::Honoured;
    double worstRatio = 0.0;
    double worstExtra = 0.0;
    double worstP99 = 0.0;
    double noHedging = 0.0;
    double randomReplica = 0.0;
    for (const std::uint64_t seed : seeds) {
        const run_result full = run(slots, honoured, policy::Full, seed);
        const run_result plain = run(slots, honoured, policy::NoHedging, seed);
        worstRatio = std::max(worstRatio, full.p99 / plain.p99);
        worstExtra = std::max(worstExtra, full.extraLoad);
        worstP99 = std::max(worstP99, full.p99);
        noHedging = std::max(noHedging, plain.p99);
        if (seed == 1) {
            randomReplica = run(slots, honoured, policy::RandomReplica, seed).p99;
        }
    }
    const std::string scenario =
        std::to_string(slots) + " slots, cancellation " + (isHonoured ? "honoured" : "ignored");
    const double mostRatio = isHonoured ? 0.25 : 0.75;
    rows.push_back(atMost("p99 of the query / no hedging", scenario, worstRatio, mostRatio, seeds, 1.0));
    rows.push_back(atMost("extra load", scenario, worstExtra, 0.05, seeds, 0.0));
    bench_row shown {"p99 of the query, ms; baseline no hedging", scenario, noHedging, worstP99, "", true, seeds};
    rows.push_back(shown);
    shown.measure = "p99 of the query, ms; baseline random replica, seed 1";
    shown.baseline = randomReplica;
    rows.push_back(shown);
}
} // namespace

std::vector<bench_row> runStragglers()
{
    std::vector<bench_row> rows;
    for (const std::uint32_t slots : {2U, 3U}) {
        addRows(rows, slots, cancellation::Honoured);
        addRows(rows, slots, cancellation::Ignored);
    }
    return rows;
}
} // namespace Bench
