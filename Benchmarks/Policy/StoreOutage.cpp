#include "Policy/StoreOutage.h"

#include "Policy/OutageFleet.h"

#include <algorithm>

namespace Bench
{
static constexpr double storeReadsPerSecond = 2000;

/// Changes that took effect more than once, under any of their ids.
static std::uint64_t doubledChanges(const outage_fleet &fleet)
{
    std::uint64_t doubled = 0;
    for (const auto &change : fleet.changes) {
        int applied = 0;
        for (const std::string &id : change->usedIds) {
            const auto found = fleet.store.appliedById.find(id);
            applied += found == fleet.store.appliedById.end() ? 0 : found->second;
        }
        doubled += applied > 1 ? 1 : 0;
    }
    return doubled;
}

static double callsPerSecondBefore(const outage_fleet &fleet)
{
    constexpr std::int64_t measured = 300;
    constexpr std::int64_t outageSeconds = 3600;
    const std::int64_t end = fleet.returnSecond - outageSeconds;
    double calls = 0.0;
    for (std::int64_t second = end - measured; second < end; ++second) {
        const auto found = fleet.store.callsInSecond.find(second);
        calls += found == fleet.store.callsInSecond.end() ? 0.0 : static_cast<double>(found->second);
    }
    return calls / static_cast<double>(measured);
}

static double mostCallsAfterReturn(const outage_fleet &fleet)
{
    constexpr std::int64_t measured = 60;
    std::uint64_t most = 0;
    for (std::int64_t second = fleet.returnSecond; second < fleet.returnSecond + measured; ++second) {
        const auto found = fleet.store.callsInSecond.find(second);
        most = std::max(most, found == fleet.store.callsInSecond.end() ? 0 : found->second);
    }
    return static_cast<double>(most);
}

static void addPromises(std::vector<bench_row> &rows)
{
    const std::vector<std::uint64_t> seeds {1, 2, 3, 4, 5, 6, 7, 8};
    double reverts = 0;
    double doubled = 0;
    double doubledWithNewIds = 0;
    double falseAnswers = 0;
    double staleFresh = 0;
    double acceptedInOutage = 0;
    for (const std::uint64_t seed : seeds) {
        outage_fleet fleet(9, resend_id::Kept, seed);
        fleet.run();
        reverts += static_cast<double>(fleet.reverts);
        doubled += static_cast<double>(doubledChanges(fleet));
        falseAnswers += static_cast<double>(fleet.falseAnswers);
        staleFresh += static_cast<double>(fleet.staleFreshMachines);
        acceptedInOutage += static_cast<double>(fleet.acceptedInOutage);
        outage_fleet baseline(9, resend_id::New, seed);
        baseline.run();
        doubledWithNewIds += static_cast<double>(doubledChanges(baseline));
    }
    const std::string scenario = "store down for an hour, 9 VMs";
    rows.push_back(atMost("adoptions of a lower number", scenario, reverts, 0, seeds));
    rows.push_back(atMost("changes applied twice; baseline: new ids", scenario, doubled, 0, seeds, doubledWithNewIds));
    rows.push_back(atMost("answers that the store contradicts", scenario, falseAnswers, 0, seeds));
    rows.push_back(atMost("fresh VMs below the newest number after 7 s", scenario, staleFresh, 0, seeds));
    rows.push_back(atMost("patches accepted while the store is down", scenario, acceptedInOutage, 0, seeds));
}

static void addCalls(std::vector<bench_row> &rows)
{
    constexpr double partOfStore = 0.01;
    for (const std::size_t size : {9U, 59U, 590U}) {
        outage_fleet fleet(size, resend_id::Kept, 1);
        fleet.run();
        const std::string scenario = "store down for an hour, " + std::to_string(size) + " VMs";
        const double everyoneWatches = static_cast<double>(size) / 10.0;
        rows.push_back(atMost("store calls a second; baseline: all watch", scenario, callsPerSecondBefore(fleet),
                              storeReadsPerSecond * partOfStore, {1}, everyoneWatches));
        rows.push_back(atMost("most store calls in a second after its return", scenario, mostCallsAfterReturn(fleet),
                              storeReadsPerSecond * partOfStore, {1}));
    }
}

std::vector<bench_row> runStoreOutage()
{
    std::vector<bench_row> rows;
    addPromises(rows);
    addCalls(rows);
    return rows;
}
} // namespace Bench
