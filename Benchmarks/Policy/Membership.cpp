#include "Policy/MembershipFleet.h"
#include "Policy/Scenarios.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace Bench
{
using namespace std::chrono_literals;

static constexpr std::size_t targetFleet = 590;
static constexpr double secondsToInForce = 7.0;
static constexpr double mostControlBytes = 10'000.0;
static const std::vector<std::uint64_t> seeds {1, 2};

/// Loses some nodes at once and makes one in ten of the others slow.
static void disturb(membership_fleet &fleet, std::size_t lost)
{
    for (std::size_t index = 0; index < lost; ++index) {
        fleet.nodes[index * fleet.nodes.size() / lost]->alive = false;
    }
    for (std::size_t index = 5; index < fleet.nodes.size(); index += 10) {
        fleet.nodes[index]->slow = true;
    }
}

/// A change at 590 daemons, 9 of them lost at the same moment and one in ten slow.
static void addChange(std::vector<bench_row> &rows)
{
    double slowest = 0.0;
    double bytes = 0.0;
    double falseDeaths = 0.0;
    for (const std::uint64_t seed : seeds) {
        membership_fleet fleet(targetFleet, seed);
        fleet.startWarm();
        fleet.runFor(10s);
        fleet.resetBytes();
        disturb(fleet, 9);
        fleet.change();
        slowest = std::max(slowest, fleet.secondsUntil([&] { return fleet.isInForce(); }, 60s));
        fleet.runFor(20s); // Half of the time between two of 2,100 changes a day.
        bytes = std::max(bytes, fleet.mostBytesPerSecond());
        falseDeaths += static_cast<double>(fleet.falseDeaths());
    }
    const std::string scenario = "590 daemons, 9 lost, 1 in 10 slow";
    rows.push_back(atMost("seconds until a change is in force everywhere", scenario, slowest, secondsToInForce, seeds));
    rows.push_back(atMost("control bytes/s of the busiest, both ways", scenario, bytes, mostControlBytes, seeds));
    rows.push_back(atMost("live members held for dead", scenario, falseDeaths, 0.0, seeds));
}

static void addStoreCalls(std::vector<bench_row> &rows)
{
    constexpr std::array sizes {std::size_t(9), std::size_t(59), targetFleet};
    std::array<double, 3> rates {};
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        membership_fleet fleet(sizes[index], seeds.front());
        fleet.startWarm();
        fleet.storeCalls = 0;
        fleet.runFor(40s);
        rates[index] = static_cast<double>(fleet.storeCalls) / 40.0;
        rows.push_back(atMost("store calls/s", std::to_string(sizes[index]) + " daemons", rates[index],
                              static_cast<double>(sizes[index]), {seeds.front()}));
    }
    rows.push_back(atMost("store calls at 590 to those at 59", "fleet ten times as large", rates[2] / rates[1], 9.99,
                          {seeds.front()}, 10.0));
}

/// Regions lose each other; the fleet of 9 for an hour, the fleet of 590 for a minute.
static void addParting(std::vector<bench_row> &rows, std::size_t size, Core::duration time, const std::string &scenario)
{
    membership_fleet fleet(size, seeds.front());
    fleet.startWarm();
    fleet.runFor(10s);
    fleet.parted = true;
    fleet.runFor(time - 10s);
    fleet.change();
    fleet.runFor(10s);
    fleet.parted = false;
    rows.push_back(atMost("seconds from the rejoin until in force everywhere", scenario,
                          fleet.secondsUntil([&] { return fleet.isInForce(); }, 60s), secondsToInForce,
                          {seeds.front()}));
    bench_row members;
    members.measure = "seconds more until all know all as live";
    members.scenario = scenario;
    members.value = fleet.secondsUntil([&] { return fleet.falseDeaths() == 0; }, 120s, 1s);
    members.seeds = {seeds.front()};
    rows.push_back(std::move(members));
}

static void addRackLoss(std::vector<bench_row> &rows)
{
    constexpr std::size_t rack = 30;
    membership_fleet fleet(targetFleet, seeds.front());
    fleet.startWarm();
    fleet.runFor(10s);
    for (std::size_t index = 0; index < rack; ++index) {
        fleet.nodes[index * 4]->alive = false; // All of one data centre.
    }
    const double seconds = fleet.secondsUntil([&] { return fleet.undetected() == 0; }, 120s, 1s);
    const std::string scenario = "590 daemons, a rack of 30 lost at once";
    bench_row detection;
    detection.measure = "seconds until no live daemon counts on them";
    detection.scenario = scenario;
    detection.value = seconds;
    detection.seeds = {seeds.front()};
    rows.push_back(std::move(detection));
    rows.push_back(
        atMost("live members held for dead", scenario, static_cast<double>(fleet.falseDeaths()), 0.0, {seeds.front()}));
}

/// 1,300 replaced VMs a day: one in 66 s.
static void addReplacements(std::vector<bench_row> &rows)
{
    membership_fleet fleet(targetFleet, seeds.front());
    fleet.startWarm();
    fleet.runFor(10s);
    fleet.resetBytes();
    double slowest = 0.0;
    for (std::size_t index = 0; index < 1; ++index) {
        membership_fleet::node &replaced = *fleet.nodes[100 + index];
        replaced.alive = false;
        fleet.runFor(10s);
        fleet.replace(100 + index);
        const auto knowsAll = [&] {
            return replaced.table.members.size() + 1 == targetFleet
                && replaced.table.self.configurationNumber == fleet.storeNumber();
        };
        slowest = std::max(slowest, fleet.secondsUntil(knowsAll, 60s));
        fleet.runFor(56s - std::min<Core::duration>(56s, Core::fromSeconds(slowest)));
    }
    const std::string scenario = "590 daemons, 1,300 replaced a day";
    rows.push_back(
        atMost("seconds until a fresh VM knows the fleet", scenario, slowest, secondsToInForce, {seeds.front()}));
    rows.push_back(atMost("control bytes/s of the busiest, both ways", scenario, fleet.mostBytesPerSecond(),
                          mostControlBytes, {seeds.front()}));
}

std::vector<bench_row> runMembership()
{
    std::vector<bench_row> rows;
    addChange(rows);
    addStoreCalls(rows);
    addParting(rows, 9, 1h, "9 daemons, regions part for an hour");
    addParting(rows, targetFleet, 1min, "590 daemons, regions part for a minute");
    addRackLoss(rows);
    addReplacements(rows);
    return rows;
}
} // namespace Bench
