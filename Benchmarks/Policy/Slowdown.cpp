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
constexpr double slowFactor = 5.0;
constexpr std::chrono::seconds before {3};
constexpr std::chrono::seconds slow {5};
constexpr std::chrono::seconds after {3};

/// Makes the replicas of one data centre, or all with an empty name, take longer for a while.
struct slowdown {
    std::string name;
    std::string dataCentre;
    double load = 0.0; ///< Before it; during it, it is `slowFactor` times as much where it strikes.
};

struct run_result {
    double extraLoad = 0.0;
    double slowP99 = 0.0; ///< In the second half of the slow time, in milliseconds.
    double laterP99 = 0.0; ///< In the last second.
    double steadyP99 = 0.0;
};

void setSlow(query_driver &driver, const Configuration::configuration_document &document, const slowdown &chosen,
             double factor)
{
    for (const auto &[name, replica] : document.services.at("search").replicas) {
        if (chosen.dataCentre.empty() || replica.dataCentre == chosen.dataCentre) {
            driver.replica(name).settings.slowFactor = factor;
        }
    }
}

run_result run(const slowdown &chosen, double hedgeBudget, std::uint64_t seed)
{
    Configuration::configuration_document document = makeDocument(shards, replicasPerShard, 2);
    document.tier.hedgeBudget = hedgeBudget;
    fake_replica_settings replica;
    replica.stragglerPart = 0.01;
    driver_settings settings;
    settings.seed = seed;
    query_driver driver(document, settings, replica);
    const Core::time_point start = driver.events.now();
    const Core::time_point slowFrom = start + before;
    const Core::time_point slowUntil = slowFrom + slow;
    const Core::time_point end = slowUntil + after;
    driver.offer(queriesPerSecond(chosen.load, replicasPerShard, replica), end);
    driver.events.at(slowFrom, [&] { setSlow(driver, document, chosen, slowFactor); });
    driver.events.at(slowUntil, [&] { setSlow(driver, document, chosen, 1.0); });
    driver.events.runUntil(end + std::chrono::seconds(2));
    run_result result;
    result.extraLoad = driver.extraLoad();
    result.steadyP99 = latencyQuantile(driver.records, 0.99, start + std::chrono::seconds(1), slowFrom);
    result.slowP99 = latencyQuantile(driver.records, 0.99, slowFrom + slow / 2, slowUntil);
    result.laterP99 = latencyQuantile(driver.records, 0.99, end - std::chrono::seconds(1), end);
    return result;
}

void addRows(std::vector<bench_row> &rows, const slowdown &chosen)
{
    const std::vector<std::uint64_t> seeds {1, 2, 3};
    run_result worst;
    double plainP99 = 0.0;
    double worstRecovery = 0.0;
    for (const std::uint64_t seed : seeds) {
        const run_result full = run(chosen, 0.05, seed);
        worst.extraLoad = std::max(worst.extraLoad, full.extraLoad);
        worst.slowP99 = std::max(worst.slowP99, full.slowP99);
        worstRecovery = std::max(worstRecovery, full.laterP99 / full.steadyP99);
        plainP99 = std::max(plainP99, seed == 1 ? run(chosen, 0.0, seed).slowP99 : 0.0);
    }
    rows.push_back(atMost("extra load", chosen.name, worst.extraLoad, 0.05, seeds, 0.0));
    rows.push_back({"p99 2 to 3 s after it / before it", chosen.name, 1.0, worstRecovery, "", true, seeds});
    rows.push_back(
        {"p99 while slow, ms; baseline no hedging, seed 1", chosen.name, plainP99, worst.slowP99, "", true, seeds});
}
} // namespace

std::vector<bench_row> runSlowdown()
{
    std::vector<bench_row> rows;
    addRows(rows, {"all replicas 5x slower, 15% load", "", 0.15});
    addRows(rows, {"all replicas 5x slower, 60% load", "", 0.6});
    addRows(rows, {"one data centre 5x slower, 40% load", "dc1", 0.4});
    return rows;
}
} // namespace Bench
