#include "LimitedFleet.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Simulation::limited_fleet;

/// Replicas state how many requests per second they accept from all daemons together. The bounds are the platform's: in
/// any 4 s no more than one and a half times the limit and five requests.
namespace
{
constexpr double requestsPerSecond = 180.0;

std::size_t allowedIn4Seconds(double limit)
{
    return static_cast<std::size_t>(limit * 4.0 * 1.5 + 5.0);
}

struct fleet_size {
    std::size_t daemons;
    std::size_t dataCentres;
};

class request_limit_test : public testing::TestWithParam<fleet_size>
{
protected:
    limited_fleet makeFleet(std::size_t shards, double minimumCoverage) const
    {
        return {GetParam().daemons, GetParam().dataCentres, shards, minimumCoverage};
    }
};
} // namespace

INSTANTIATE_TEST_SUITE_P(FleetSizes, request_limit_test,
                         testing::Values(fleet_size {9, 3}, fleet_size {66, 6}, fleet_size {295, 6}),
                         [](const auto &info) { return std::to_string(info.param.daemons) + "Daemons"; });

/// Guards against daemons that ignore a limit, or that each use all of it: two of three replicas of a shard state half
/// of their usual rate, and the daemons near them go on sending as before.
TEST_P(request_limit_test, RequestsOfAllDaemonsStayWithinAReplicasStatedLimit)
{
    limited_fleet fleet = makeFleet(1, 1.0);
    fleet.run(requestsPerSecond, 5s);
    fleet.setLimit(0, 1, 30.0);
    fleet.setLimit(0, 2, 20.0);
    fleet.run(requestsPerSecond, 2s);
    const Core::time_point settled = fleet.now();
    fleet.totals = {};
    fleet.run(requestsPerSecond, 20s);
    EXPECT_LE(fleet.mostRequestsIn4Seconds(0, 1, settled), allowedIn4Seconds(30.0));
    EXPECT_LE(fleet.mostRequestsIn4Seconds(0, 2, settled), allowedIn4Seconds(20.0));
    EXPECT_GE(fleet.totals.answered * 100, fleet.totals.requests * 99) << "the third replica has room for the others";
}
