#include "Policy/RolloutFleet.h"
#include "Policy/Scenarios.h"

#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

namespace Bench
{
static std::string nameOf(const rollout_case &settings)
{
    std::string fault = settings.fault == version_fault::Fails ? "failing" : "slow";
    switch (settings.when) {
    case fault_time::AtOnce:
        return fault + " version, at once";
    case fault_time::Late:
        return fault + " version, late";
    case fault_time::UnderLoad:
        return fault + " version, under load";
    case fault_time::OneRoute:
        return fault + " version, one route";
    }
    return fault;
}

/// The baseline, which breaks the bound in each seed, runs with the first seeds only.
static constexpr std::uint64_t baselineSeeds = 3;

/// Ten seeds, and thirty from a range in which the bound once broke.
static std::vector<std::uint64_t> severalSeeds()
{
    std::vector<std::uint64_t> seeds(40);
    std::iota(seeds.begin(), seeds.begin() + 10, 1);
    std::iota(seeds.begin() + 10, seeds.end(), 101);
    return seeds;
}

static void addBadVersion(rollout_case settings, std::vector<bench_row> &rows)
{
    const std::vector<std::uint64_t> seeds = severalSeeds();
    double mostBefore = 0.0;
    double mostAfter = 0.0;
    double shown = 0.0;
    double baselineAfter = 0.0;
    for (const std::uint64_t seed : seeds) {
        settings.seed = seed;
        settings.judges = true;
        const rollout_record record = rollout_fleet(settings).run();
        mostBefore = std::max(mostBefore,
                              static_cast<double>(record.newUntilShown)
                                  / static_cast<double>(std::max<std::uint64_t>(1, record.queriesUntilShown)));
        mostAfter = std::max(mostAfter, static_cast<double>(record.newAfterBound));
        shown += record.shown || record.takenBack ? 1.0 : 0.0;
        settings.judges = false;
        if (seed <= baselineSeeds) {
            baselineAfter = std::max(baselineAfter, static_cast<double>(rollout_fleet(settings).run().newAfterBound));
        }
    }
    const std::string name = nameOf(settings);
    // A version that works at first has its traffic by right until it stops working.
    if (settings.when == fault_time::AtOnce || settings.when == fault_time::OneRoute) {
        rows.push_back(atMost("part of traffic before the 20th faulty answer", name, mostBefore, 0.05, seeds));
    }
    rows.push_back(
        atMost("queries on it 3 s after its 20th faulty answer", name, mostAfter, 0.0, seeds, baselineAfter));
    rows.push_back(atLeast("part of seeds in which the fault showed", name, shown / static_cast<double>(seeds.size()),
                           1.0, seeds));
}

/// Shows how late a fleet is whose evidence is a sample of its daemons.
static void addLargeFleet(std::vector<bench_row> &rows)
{
    const std::vector<std::uint64_t> seeds {1, 2, 3};
    for (const version_fault fault : {version_fault::Fails, version_fault::Slow}) {
        rollout_case settings;
        settings.fault = fault;
        settings.daemonCount = 590;
        settings.queriesPerSecond = 2000.0;
        settings.length = std::chrono::seconds(20);
        double mostAfter = 0.0;
        for (const std::uint64_t seed : seeds) {
            settings.seed = seed;
            mostAfter = std::max(mostAfter, static_cast<double>(rollout_fleet(settings).run().newAfterBound));
        }
        rows.push_back({"queries on it 3 s after its 20th faulty answer",
                        nameOf(settings) + ", 590 daemons",
                        {},
                        mostAfter,
                        "",
                        true,
                        seeds});
    }
}

static void addGoodVersion(std::vector<bench_row> &rows)
{
    constexpr std::uint64_t seedCount = 1000;
    double takenBack = 0.0;
    double moved = 0.0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        rollout_case settings;
        settings.seed = seed;
        settings.troubles = seed % 4 != 0;
        settings.length = std::chrono::seconds(120);
        settings.exchangeInterval = std::chrono::milliseconds(500);
        settings.queriesPerSecond = seed % 2 == 0 ? 20.0 : 80.0;
        const rollout_record record = rollout_fleet(settings).run();
        takenBack += record.takenBack ? 1.0 : 0.0;
        moved += record.moved ? 1.0 : 0.0;
    }
    const std::string name = "good version, slow-down, bad data centre";
    rows.push_back(atMost("good versions taken back, of 1000 seeds", name, takenBack, 0.0, {1, seedCount}));
    rows.push_back(atLeast("part of seeds moved by the deadline", name, moved / seedCount, 1.0, {1, seedCount}));
}

std::vector<bench_row> runRollout()
{
    std::vector<bench_row> rows;
    for (const version_fault fault : {version_fault::Fails, version_fault::Slow}) {
        for (const fault_time when :
             {fault_time::AtOnce, fault_time::Late, fault_time::UnderLoad, fault_time::OneRoute}) {
            rollout_case settings;
            settings.fault = fault;
            settings.when = when;
            addBadVersion(settings, rows);
        }
    }
    addLargeFleet(rows);
    addGoodVersion(rows);
    return rows;
}
} // namespace Bench
