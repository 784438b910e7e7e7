#include "LibConfiguration/WatchCandidate.h"
#include "LibConfiguration/WatchPlan.h"
#include "LibConfiguration/WatchState.h"
#include "LibConfiguration/WatchView.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <map>

TEST(WatchPlan, RanksOneWatcherOfEachRegionFirst)
{
    const auto order = Configuration::watchOrder({{"a", "r1"}, {"b", "r1"}, {"c", "r1"}, {"d", "r2"}});
    EXPECT_EQ(order[0].virtualMachine, "a");
    EXPECT_EQ(order[1].virtualMachine, "d");
    EXPECT_EQ(order[2].virtualMachine, "b");
}

/// Returns the store calls per second of a fleet in steady state, computed from the delays between calls of each VM.
static double callsPerSecond(std::size_t fleet)
{
    Core::random_engine random(1);
    double calls = 0.0;
    for (std::size_t rank = 0; rank < fleet; ++rank) {
        const Configuration::watch_view view {rank, fleet, 1};
        Configuration::watch_state state;
        constexpr int samples = 50;
        Core::duration elapsed {};
        for (int sample = 0; sample < samples; ++sample) {
            elapsed += Configuration::delayAfterSuccess(state, view, random);
            elapsed += Configuration::holdsWatch(view) ? Core::duration(Configuration::maximumWatchDuration)
                                                       : Core::duration();
        }
        calls += samples / Core::toSeconds(elapsed);
    }
    return calls;
}

TEST(WatchPlan, StoreCallRateGrowsMoreSlowlyThanFleet)
{
    const double currentFleetRate = callsPerSecond(9);
    const double mediumFleetRate = callsPerSecond(59);
    const double targetFleetRate = callsPerSecond(590);
    std::cout << "steady-state store calls per second: 9 VMs: " << currentFleetRate << ", 59 VMs: " << mediumFleetRate
              << ", 590 VMs: " << targetFleetRate << '\n';
    constexpr double maximumGrowthFraction = 0.1;
    EXPECT_LT(mediumFleetRate / currentFleetRate, 59.0 / 9.0);
    EXPECT_LT(targetFleetRate / currentFleetRate, maximumGrowthFraction * 590.0 / 9.0);
    EXPECT_LT(targetFleetRate / mediumFleetRate, maximumGrowthFraction * 590.0 / 59.0 + 1.0);
}

TEST(WatchPlan, SpreadsFirstCallsWhenStoreRecovers)
{
    // All calls fail for one hour. The first calls of the VMs after that must be spread over time, with at most a few
    // in the same second.
    constexpr std::size_t fleet = 590;
    Core::random_engine random(2);
    const Core::duration outage = std::chrono::hours(1);
    std::map<std::int64_t, int> callsInSecond;
    for (std::size_t rank = 0; rank < fleet; ++rank) {
        const Configuration::watch_view view {rank, fleet, 1};
        Configuration::watch_state state;
        Core::duration now {};
        while (now < outage) {
            now += Configuration::delayAfterFailure(state, view, random);
        }
        ++callsInSecond[std::chrono::duration_cast<std::chrono::seconds>(now - outage).count()];
    }
    int maximumCalls = 0;
    for (const auto &[second, calls] : callsInSecond) {
        maximumCalls = std::max(maximumCalls, calls);
    }
    std::cout << "maximum first calls per second after a store outage of one hour, 590 VMs: " << maximumCalls << '\n';
    EXPECT_LE(maximumCalls, 20) << "must not exceed one hundredth of the store's capacity";
}
