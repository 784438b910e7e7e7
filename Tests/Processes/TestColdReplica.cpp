#include "Processes/CallerLoad.h"
#include "Processes/TestFleet.h"

#include <gtest/gtest.h>

#include <thread>

using namespace std::chrono_literals;

TEST(ColdReplica, ARestartWithoutNoticeIsHeldToOneRequestByAllDaemonsTogether)
{
    Processes::test_fleet fleet({});
    Processes::caller_load load({fleet.daemonAddress(0), fleet.daemonAddress(1), fleet.daemonAddress(2)},
                                fleet.teamKey(), 8);
    std::this_thread::sleep_for(10s); // Daemons warm the replicas and tell one another.
    const std::string replica = fleet.replicaNames().front();
    fleet.setBackendFaults(replica, {{"cold", true}, {"hides_cold", true}, {"incarnation", "second"}});
    std::this_thread::sleep_for(3s);
    EXPECT_GT(fleet.backendCounters(replica).at("most_while_cold").as_int64(), 0) << "nobody has sent to it";
    fleet.setBackendFaults(replica, {{"cold", true}}); // Counts anew, after the first evidence.
    std::this_thread::sleep_for(3s);
    EXPECT_LE(fleet.backendCounters(replica).at("most_while_cold").as_int64(), 1);
    const Processes::load_tally tally = load.stop();
    EXPECT_EQ(tally.wrongAnswers, 0U);
}

TEST(ColdReplica, CrossedAnswersReachNobody)
{
    Processes::test_fleet fleet({});
    Processes::caller_load load({fleet.daemonAddress(0)}, fleet.teamKey(), 4);
    std::this_thread::sleep_for(6s);
    load.take();
    fleet.setBackendFaults(fleet.replicaNames().front(), {{"crossing", true}});
    std::this_thread::sleep_for(2s);
    const Processes::load_tally tally = load.stop();
    EXPECT_EQ(tally.wrongAnswers, 0U);
    EXPECT_EQ(tally.leastCoverage, 1.0) << "the other replicas of the shard answer";
}
