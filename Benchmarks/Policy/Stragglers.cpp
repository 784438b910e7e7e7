#include "Policy/MakeDocument.h"
#include "Policy/Quantile.h"
#include "Policy/QueryDriver.h"
#include "Policy/Scenarios.h"

namespace Bench
{
std::vector<bench_row> runStragglers()
{
    const std::vector<std::uint64_t> seeds {1};
    fake_replica_settings replica;
    replica.stragglerPart = 0.01;
    query_driver driver(makeDocument(25, 3, 2), {}, replica);
    const Core::time_point end = driver.events.now() + std::chrono::seconds(20);
    driver.offer(600, end);
    driver.events.runUntil(end + std::chrono::seconds(5));
    bench_row row;
    row.measure = "p99 of the whole query, ms";
    row.scenario = "stragglers, 2 slots";
    row.value = latencyQuantile(driver.records, 0.99);
    row.seeds = seeds;
    return {row};
}
} // namespace Bench
