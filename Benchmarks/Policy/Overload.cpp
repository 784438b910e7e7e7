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
constexpr std::chrono::seconds before {3};
constexpr std::chrono::seconds offered {4};
constexpr std::chrono::seconds after {4};

struct run_result {
    double usefulPerSecond = 0.0; ///< Whole answers while the load is offered.
    double alertsInTime = 1.0; ///< Part of the alerts answered whole.
    double recovery = 0.0; ///< p99 in the last second / p99 before.
};

run_result run(double load, std::uint32_t slots, std::uint64_t seed)
{
    fake_replica_settings replica;
    replica.slots = slots;
    driver_settings settings;
    settings.seed = seed;
    settings.alertPart = 0.1;
    query_driver driver(makeDocument(shards, replicasPerShard, slots), settings, replica);
    const Core::time_point start = driver.events.now();
    const Core::time_point from = start + before;
    const Core::time_point until = from + offered;
    const Core::time_point end = until + after;
    driver.offer(queriesPerSecond(0.5, replicasPerShard, replica), from);
    driver.events.at(from, [&] { driver.offer(queriesPerSecond(load, replicasPerShard, replica), until); });
    driver.events.at(until, [&] { driver.offer(queriesPerSecond(0.5, replicasPerShard, replica), end); });
    driver.events.runUntil(end + std::chrono::seconds(2));
    double useful = 0.0;
    double alerts = 0.0;
    double alertsWhole = 0.0;
    for (const query_record &record : driver.records) {
        if (record.startedAt < from || record.startedAt >= until) {
            continue;
        }
        const double whole = record.result == Query::outcome::Answered ? 1.0 : 0.0;
        useful += whole;
        alerts += record.alert ? 1.0 : 0.0;
        alertsWhole += record.alert ? whole : 0.0;
    }
    run_result result;
    result.usefulPerSecond = useful / Core::toSeconds(offered);
    result.alertsInTime = alertsWhole / alerts;
    result.recovery = latencyQuantile(driver.records, 0.99, end - std::chrono::seconds(1), end)
        / latencyQuantile(driver.records, 0.99, start + std::chrono::seconds(1), from);
    return result;
}
} // namespace

std::vector<bench_row> runQueryOverload()
{
    const std::vector<std::uint64_t> seeds {1, 2, 3};
    std::vector<bench_row> rows;
    for (const std::uint32_t slots : {2U, 3U}) {
        double leastUseful = 1.0;
        double leastAlerts = 1.0;
        double worstRecovery = 0.0;
        for (const std::uint64_t seed : seeds) {
            const run_result at1 = run(1.0, slots, seed);
            const run_result at2 = run(2.0, slots, seed);
            leastUseful = std::min(leastUseful, at2.usefulPerSecond / at1.usefulPerSecond);
            leastAlerts = std::min(leastAlerts, at2.alertsInTime);
            worstRecovery = std::max(worstRecovery, at2.recovery);
        }
        const std::string scenario = "2x capacity offered, " + std::to_string(slots) + " slots, a tenth alerts";
        rows.push_back(atLeast("useful answers / those at 1x", scenario, leastUseful, 0.9, seeds, 1.0));
        rows.push_back(atLeast("alerts answered in time", scenario, leastAlerts, 0.999, seeds));
        rows.push_back(atMost("p99 3 to 4 s after it / before it", scenario, worstRecovery, 1.5, seeds, 1.0));
    }
    return rows;
}
} // namespace Bench
