#include "Policy/Load.h"
#include "Policy/MakeDocument.h"
#include "Policy/QueryDriver.h"
#include "Policy/Scenarios.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace Bench
{
namespace
{
constexpr std::size_t shards = 25;
constexpr std::size_t replicasPerShard = 3;

/// Sets one fault after the other at replicas drawn by chance, each for half a second.
void scheduleFaults(query_driver &driver, Core::random_engine &random, Core::time_point end)
{
    constexpr std::chrono::milliseconds gap {50};
    constexpr std::chrono::milliseconds lasts {500};
    constexpr std::uint64_t kinds = 6;
    for (Core::time_point at = driver.events.now(); at < end; at += gap) {
        const std::string name =
            "s" + std::to_string(random() % shards) + "-r" + std::to_string(random() % replicasPerShard);
        fake_replica &replica = driver.replica(name);
        const std::uint64_t kind = random() % kinds;
        const auto set = [&replica, kind](bool on) {
            fake_replica_settings &settings = replica.settings;
            settings.wrongSnapshot = kind == 0 ? on : settings.wrongSnapshot;
            settings.wrongRequest = kind == 1 ? on : settings.wrongRequest;
            settings.down = kind == 2 ? on : settings.down;
            settings.failurePart = kind == 3 ? (on ? 0.5 : 0.0) : settings.failurePart;
            settings.slowFactor = kind == 4 ? (on ? 40.0 : 1.0) : settings.slowFactor;
            settings.snapshotGone = kind == 5 ? on : settings.snapshotGone;
        };
        driver.events.at(at, [set] { set(true); });
        driver.events.at(at + lasts, [set] { set(false); });
    }
}

struct run_result {
    std::uint64_t queries = 0;
    std::uint64_t wrong = 0; ///< Coverage claimed is not the coverage that right answers reached the daemon for.
    std::uint64_t incomplete = 0;
    double extraLoad = 0.0;
};

run_result run(std::uint64_t seed)
{
    fake_replica_settings replica;
    replica.stragglerPart = 0.01;
    driver_settings settings;
    settings.seed = seed;
    settings.deadline = std::chrono::milliseconds(200);
    query_driver driver(makeDocument(shards, replicasPerShard, 2), settings, replica);
    Core::random_engine random(seed);
    const Core::time_point end = driver.events.now() + std::chrono::seconds(10);
    scheduleFaults(driver, random, end);
    driver.offer(queriesPerSecond(0.3, replicasPerShard, replica), end);
    driver.events.runUntil(end + std::chrono::seconds(2));
    run_result result;
    result.queries = driver.records.size();
    result.extraLoad = driver.extraLoad();
    for (const query_record &record : driver.records) {
        constexpr double rounding = 1e-9;
        const bool whole = record.result == Query::outcome::Answered;
        const bool isWrong = std::abs(record.coverage - record.trueCoverage) > rounding
            || whole != (record.trueCoverage > 1.0 - rounding);
        result.wrong += isWrong ? 1 : 0;
        result.incomplete += whole ? 0 : 1;
    }
    return result;
}
} // namespace

std::vector<bench_row> runTruth()
{
    const std::vector<std::uint64_t> seeds {1, 2, 3, 4, 5};
    run_result sum;
    for (const std::uint64_t seed : seeds) {
        const run_result one = run(seed);
        sum.queries += one.queries;
        sum.wrong += one.wrong;
        sum.incomplete += one.incomplete;
        sum.extraLoad = std::max(sum.extraLoad, one.extraLoad);
    }
    const std::string scenario = "mixed snapshots, crossed, late and lost answers";
    bench_row shown {"incomplete queries, part of all", scenario, {}, 0.0, "", true, seeds};
    shown.value = static_cast<double>(sum.incomplete) / static_cast<double>(sum.queries);
    return {atMost("queries with a false coverage", scenario, static_cast<double>(sum.wrong), 0.0, seeds),
            atMost("extra load", scenario, sum.extraLoad, 0.05, seeds), shown};
}
} // namespace Bench
