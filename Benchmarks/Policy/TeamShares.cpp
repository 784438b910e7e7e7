#include "Policy/Scenarios.h"
#include "Policy/UsageFleet.h"

#include <algorithm>
#include <cmath>

namespace Bench
{
using std::chrono::seconds;

static constexpr double shareA = usage_fleet::capacity * 0.6;
static constexpr double shareB = usage_fleet::capacity * 0.4;

/// Returns the largest part by which a team missed its share over 10 s, with demand at other daemons in each 10 s.
static double missWhileMoving(std::size_t daemons, std::uint64_t seed, bool exchanges)
{
    usage_fleet fleet(daemons, seed);
    fleet.exchanges = exchanges;
    const auto everywhere = spreadDemand(daemons, 0, daemons, usage_fleet::capacity);
    fleet.run(seconds(6), {{"a", everywhere}, {"b", everywhere}});
    double worst = 0.0;
    for (std::size_t round = 0; round < 3; ++round) {
        const std::size_t place = round * daemons / 3;
        const auto admitted =
            fleet.run(seconds(10),
                      {{"a", spreadDemand(daemons, place, daemons / 3, usage_fleet::capacity)},
                       {"b", spreadDemand(daemons, place * 2, daemons / 2, usage_fleet::capacity * 1.3)}});
        worst = std::max({worst, std::abs(admitted.at("a") / shareA - 1.0), std::abs(admitted.at("b") / shareB - 1.0)});
    }
    return worst;
}

/// What a lender and a borrower got while one lent, and from 2 s after the lender wanted its share again.
struct lending_result {
    double lentUse = 0.0; ///< Part of the pool in use while capacity was lent.
    double lenderAfter = 0.0; ///< As a part of its share.
    double borrowerAfter = 0.0;
};

static lending_result lend(std::size_t daemons, std::uint64_t seed, bool exchanges)
{
    usage_fleet fleet(daemons, seed);
    fleet.exchanges = exchanges;
    const auto borrower = spreadDemand(daemons, 0, daemons, usage_fleet::capacity * 1.3);
    const auto idle = spreadDemand(daemons, 0, (daemons + 1) / 2, usage_fleet::capacity * 0.1);
    fleet.run(seconds(6), {{"a", idle}, {"b", borrower}});
    const auto lent = fleet.run(seconds(10), {{"a", idle}, {"b", borrower}});
    const auto returning = spreadDemand(daemons, 1, (daemons + 1) / 2, usage_fleet::capacity * 0.7);
    fleet.run(seconds(2), {{"a", returning}, {"b", borrower}});
    const auto after = fleet.run(seconds(10), {{"a", returning}, {"b", borrower}});
    return {(lent.at("a") + lent.at("b")) / usage_fleet::capacity, after.at("a") / shareA, after.at("b") / shareB};
}

static void addRows(std::size_t daemons, std::vector<bench_row> &rows)
{
    const std::vector<std::uint64_t> seeds {1, 2, 3, 4, 5};
    lending_result worst {1.0, 1.0, 1.0};
    lending_result alone {1.0, 1.0, 1.0};
    double miss = 0.0;
    double missAlone = 0.0;
    for (const std::uint64_t seed : seeds) {
        miss = std::max(miss, missWhileMoving(daemons, seed, true));
        missAlone = std::max(missAlone, missWhileMoving(daemons, seed, false));
        const lending_result result = lend(daemons, seed, true);
        const lending_result without = lend(daemons, seed, false);
        worst = {std::min(worst.lentUse, result.lentUse), std::min(worst.lenderAfter, result.lenderAfter),
                 std::max(worst.borrowerAfter, result.borrowerAfter)};
        alone = {std::min(alone.lentUse, without.lentUse), std::min(alone.lenderAfter, without.lenderAfter),
                 std::max(alone.borrowerAfter, without.borrowerAfter)};
    }
    const std::string name = std::to_string(daemons) + " daemons, baseline each alone";
    rows.push_back(atMost("largest miss of a share over 10 s", name, miss, 0.05, seeds, missAlone));
    rows.push_back(atLeast("pool in use while capacity is lent", name, worst.lentUse, 0.95, seeds, alone.lentUse));
    rows.push_back(
        atLeast("lender's part of its share from 2 s on", name, worst.lenderAfter, 0.95, seeds, alone.lenderAfter));
    rows.push_back(atMost("borrower's part of its share from 2 s on", name, worst.borrowerAfter, 1.05, seeds,
                          alone.borrowerAfter));
}

std::vector<bench_row> runTeamShares()
{
    std::vector<bench_row> rows;
    addRows(9, rows);
    addRows(59, rows);
    addRows(590, rows);
    return rows;
}
} // namespace Bench
