#include "Processes/CallerLoad.h"
#include "Processes/TestFleet.h"

#include <gtest/gtest.h>

#include <thread>

using namespace std::chrono_literals;

/// Request ids that the replica has ever run.
static std::size_t requestsRun(Processes::test_fleet &fleet, const std::string &replica)
{
    return fleet.backendCounters(replica).at("runs").as_object().size();
}

TEST(ReturnedReplica, AReplicaThatLeftGetsNoWorkUntilItsSuccessorStartsUnderTheSameSettings)
{
    Processes::test_fleet fleet({});
    Processes::caller_load load({fleet.daemonAddress(0), fleet.daemonAddress(1), fleet.daemonAddress(2)},
                                fleet.teamKey(), 8);
    std::this_thread::sleep_for(10s); // Daemons warm the replicas and tell one another.
    const std::string replica = fleet.replicaNames().front();
    fleet.setBackendFaults(replica, {{"leaving", true}});
    std::this_thread::sleep_for(3s);
    const std::size_t whenLeft = requestsRun(fleet, replica);
    ASSERT_GT(whenLeft, 0U);
    std::this_thread::sleep_for(3s);
    EXPECT_EQ(requestsRun(fleet, replica), whenLeft);
    fleet.setBackendFaults(replica, {{"leaving", false}, {"incarnation", "second"}});
    std::this_thread::sleep_for(10s);
    EXPECT_GT(requestsRun(fleet, replica), whenLeft) << "nobody has found out that it is back";
    EXPECT_EQ(load.stop().wrongAnswers, 0U);
}
