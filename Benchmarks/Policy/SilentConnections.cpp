#include "Policy/MakeDocument.h"
#include "Policy/Quantile.h"
#include "Policy/QueryDriver.h"
#include "Policy/Scenarios.h"

namespace Bench
{
/// Replicas that some daemon avoids although none has a fault.
static std::size_t putAside(query_driver &driver, std::size_t daemons)
{
    std::size_t aside = 0;
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
        for (const Backend::replica_state &replica : driver.service(daemon).replicas) {
            aside += replica.avoidUntil > driver.events.now() ? 1 : 0;
        }
    }
    return aside;
}

std::vector<bench_row> runSilentConnections()
{
    const std::vector<std::uint64_t> seeds {1, 2, 3};
    double worst = 0.0;
    double worstAtOnce = 0.0;
    std::size_t aside = 0;
    for (const std::uint64_t seed : seeds) {
        driver_settings settings;
        settings.seed = seed;
        query_driver driver(makeDocument(25, 3, 2), settings, {});
        const Core::time_point start = driver.events.now();
        const Core::time_point fault = start + std::chrono::seconds(20);
        const Core::time_point end = start + std::chrono::seconds(40);
        driver.offer(480, end); // 40% load.
        driver.events.at(fault, [&driver] { driver.silenceConnections(0.3); });
        for (Core::time_point at = fault; at < end; at += std::chrono::milliseconds(100)) {
            driver.events.at(at, [&driver, &aside, &settings] { aside += putAside(driver, settings.daemons); });
        }
        driver.events.runUntil(end + std::chrono::seconds(2));
        const double steady = latencyQuantile(driver.records, 0.99, start + std::chrono::seconds(5), fault);
        const auto recovered = fault + std::chrono::seconds(3);
        worst = std::max(worst, latencyQuantile(driver.records, 0.99, recovered, end) / steady);
        worstAtOnce = std::max(worstAtOnce, latencyQuantile(driver.records, 0.99, fault, recovered) / steady);
    }
    constexpr double mostRatio = 1.5;
    return {atMost("p99 from 3 s after / steady (baseline: first 3 s)", "30% of open connections silent", worst,
                   mostRatio, seeds, worstAtOnce),
            atMost("replicas put aside", "30% of open connections silent", static_cast<double>(aside), 0.0, seeds)};
}
} // namespace Bench
