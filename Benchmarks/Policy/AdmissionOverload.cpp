#include "Policy/OverloadFleet.h"
#include "Policy/Scenarios.h"

#include <algorithm>

namespace Bench
{
using std::chrono::seconds;

namespace
{
/// Useful answers as parts of those at the capacity, and alerts inside their deadline.
struct overload_result {
    double useful = 0.0;
    double alerts = 0.0;
    double usefulAfter = 0.0;
};
} // namespace

static overload_result overload(std::uint64_t seed, bool admits)
{
    constexpr double load = overload_fleet::capacity;
    overload_fleet fleet(seed, admits);
    const auto measure = [&fleet](double queriesPerSecond) {
        // The last second lets every counted query end.
        fleet.countFor(seconds(10));
        fleet.run(queriesPerSecond, seconds(11));
    };
    fleet.run(load, seconds(5));
    measure(load);
    const auto before = static_cast<double>(fleet.useful);
    fleet.run(2.0 * load, seconds(1));
    measure(2.0 * load);
    overload_result result;
    result.useful = static_cast<double>(fleet.useful) / before;
    result.alerts = static_cast<double>(fleet.usefulAlerts) / static_cast<double>(fleet.offeredAlerts);
    fleet.run(load, seconds(2));
    measure(load);
    result.usefulAfter = static_cast<double>(fleet.useful) / before;
    return result;
}

std::vector<bench_row> runAdmission()
{
    const std::vector<std::uint64_t> seeds {1, 2, 3};
    overload_result worst {1e9, 1e9, 1e9};
    overload_result without {1e9, 1e9, 1e9};
    const auto takeWorse = [](overload_result &held, const overload_result &other) {
        held = {std::min(held.useful, other.useful), std::min(held.alerts, other.alerts),
                std::min(held.usefulAfter, other.usefulAfter)};
    };
    for (const std::uint64_t seed : seeds) {
        takeWorse(worst, overload(seed, true));
        takeWorse(without, overload(seed, false));
    }
    const std::string name = "load twice the capacity, baseline admits all";
    return {
        atLeast("useful answers, as part of those at 1x", name, worst.useful, 0.9, seeds, without.useful),
        atLeast("alerts inside their deadline", name, worst.alerts, 0.999, seeds, without.alerts),
        atLeast("useful answers 2 s after the load went back", name, worst.usefulAfter, 0.9, seeds,
                without.usefulAfter),
    };
}
} // namespace Bench
