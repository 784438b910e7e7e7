#include "Policy/MakeDocument.h"
#include "Policy/QueryDriver.h"
#include "Policy/Scenarios.h"

#include <algorithm>

namespace Bench
{
namespace
{
constexpr std::chrono::seconds graceTime {3};

/// Requests that three leaving replicas got from any daemon later than the grace time.
std::uint64_t newWorkAfterGrace(bool configured, std::uint64_t seed)
{
    driver_settings settings;
    settings.seed = seed;
    Configuration::configuration_document document = makeDocument(25, 3, 2);
    query_driver driver(document, settings, {});
    const Core::time_point start = driver.events.now();
    const Core::time_point leaving = start + std::chrono::seconds(5);
    const Core::time_point end = start + std::chrono::seconds(20);
    const std::vector<std::string> names {"s0-r0", "s7-r1", "s24-r2"};
    driver.offer(480, end);
    driver.events.at(leaving, [&] {
        ++document.number;
        for (const std::string &name : names) {
            if (configured) {
                document.services.at("search").replicas.at(name).leaving = true;
            } else {
                driver.replica(name).settings.leaving = true;
            }
        }
        driver.apply(document);
    });
    std::uint64_t received = 0;
    driver.events.at(leaving + graceTime, [&] {
        for (const std::string &name : names) {
            driver.replica(name).received = 0;
        }
    });
    driver.events.runUntil(end + std::chrono::seconds(2));
    for (const std::string &name : names) {
        received += driver.replica(name).received;
    }
    return received;
}

bench_row rowFor(const std::string &scenario, bool configured)
{
    const std::vector<std::uint64_t> seeds {1, 2, 3, 4, 5};
    std::uint64_t most = 0;
    for (const std::uint64_t seed : seeds) {
        most = std::max(most, newWorkAfterGrace(configured, seed));
    }
    return atMost("requests later than 3 s", scenario, static_cast<double>(most), 0.0, seeds);
}
} // namespace

std::vector<bench_row> runLeaving()
{
    return {rowFor("leaving by configuration", true), rowFor("leaving by own report", false)};
}
} // namespace Bench
