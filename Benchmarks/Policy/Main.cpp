#include "Policy/BenchRow.h"
#include "Policy/Scenarios.h"
#include "Policy/StoreOutage.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <array>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <utility>

DEFINE_string(json, "", "file to write the rows to, as JSON");
DEFINE_string(only, "", "runs only the scenario of this name");

namespace
{
struct scenario {
    const char *name;
    std::vector<Bench::bench_row> (*run)();
};

constexpr std::array scenarios {
    scenario {"admission", Bench::runAdmission},
    scenario {"stragglers", Bench::runStragglers},
    scenario {"store-outage", Bench::runStoreOutage},
    scenario {"team-shares", Bench::runTeamShares},
    scenario {"rollout", Bench::runRollout},
    scenario {"cold-start", Bench::runColdStart},
    scenario {"data-centre-out", Bench::runDataCentreOut},
    scenario {"leaving", Bench::runLeaving},
    scenario {"silent-connections", Bench::runSilentConnections},
    scenario {"slowdown", Bench::runSlowdown},
    scenario {"truth", Bench::runTruth},
    scenario {"query_overload", Bench::runQueryOverload},
    scenario {"membership", Bench::runMembership},
    scenario {"counts", Bench::runCounts},
};

std::string seedsText(const Bench::bench_row &row)
{
    std::string text;
    for (const std::uint64_t seed : row.seeds) {
        text += (text.empty() ? "" : ",") + std::to_string(seed);
    }
    return text;
}

void printRow(const Bench::bench_row &row)
{
    const std::string baseline = row.baseline ? std::to_string(*row.baseline) : "-";
    std::printf("%-6s %-44s %-48s %14.6f %14s  %-10s seeds %s\n", row.passed ? "ok" : "BROKEN", row.scenario.c_str(),
                row.measure.c_str(), row.value, baseline.c_str(), row.bound.c_str(), seedsText(row).c_str());
}

boost::json::object encodeRow(const Bench::bench_row &row)
{
    boost::json::object object {{"measure", row.measure},
                                {"scenario", row.scenario},
                                {"value", row.value},
                                {"bound", row.bound},
                                {"passed", row.passed}};
    boost::json::array seeds;
    for (const std::uint64_t seed : row.seeds) {
        seeds.emplace_back(seed);
    }
    object["seeds"] = std::move(seeds);
    if (row.baseline) {
        object["baseline"] = *row.baseline;
    }
    return object;
}
} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::json::array encoded;
    bool passed = true;
    bool found = false;
    std::printf("%-6s %-44s %-48s %14s %14s  %-10s\n", "", "scenario", "measure", "value", "baseline", "bound");
    for (const scenario &candidate : scenarios) {
        if (!FLAGS_only.empty() && FLAGS_only != candidate.name) {
            continue;
        }
        found = true;
        const std::clock_t start = std::clock();
        for (const Bench::bench_row &row : candidate.run()) {
            printRow(row);
            encoded.push_back(encodeRow(row));
            passed = passed && row.passed;
        }
        std::fprintf(stderr, "%s took %.1f s of processor time\n", candidate.name,
                     static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC);
    }
    if (!found) {
        std::cerr << "no scenario \"" << FLAGS_only << "\"\n";
        return 2;
    }
    if (!FLAGS_json.empty()) {
        std::ofstream(FLAGS_json) << boost::json::serialize(encoded) << '\n';
    }
    return passed ? 0 : 1;
}
