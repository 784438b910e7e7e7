#include "Processes/CallerLoad.h"
#include "Processes/TestFleet.h"

#include <gtest/gtest.h>

#include <thread>

using namespace std::chrono_literals;
namespace json = boost::json;

TEST(IndexChanges, SnapshotChangeUnderLoadMixesNothing)
{
    Processes::test_fleet fleet({});
    Processes::caller_load load({fleet.daemonAddress(0), fleet.daemonAddress(1)}, fleet.teamKey(), 4);
    std::this_thread::sleep_for(1s);
    // The new snapshot is repartitioned: it has half of the shards.
    const json::object shards {{"s0", {{"weight", 2.0}}}, {"s1", {{"weight", 2.0}}}};
    const json::object service {{"snapshots", {{"snapshot-2", {{"shards", shards}}}}},
                                {"current_snapshot", "snapshot-2"}};
    ASSERT_EQ(fleet.patch(0, 1, "snapshot", {{"services", {{"search", service}}}}), 200);
    ASSERT_TRUE(fleet.waitForNumber(2, 7s));
    // Queries that were pinned before may still end, within the route's deadline of a second. All answers count.
    std::this_thread::sleep_for(1100ms);
    const Processes::load_tally before = load.take();
    EXPECT_EQ(before.wrongAnswers, 0U);
    EXPECT_EQ(before.leastCoverage, 1.0);
    std::this_thread::sleep_for(1s);
    const Processes::load_tally tally = load.stop();
    EXPECT_EQ(tally.wrongAnswers, 0U);
    EXPECT_EQ(tally.leastCoverage, 1.0);
    ASSERT_EQ(tally.snapshots.size(), 1U);
    EXPECT_EQ(tally.snapshots.begin()->first, "snapshot-2");
}

TEST(IndexChanges, VanishedSnapshotNeverGivesAFalseCoverage)
{
    Processes::test_fleet fleet({});
    Processes::caller_load load({fleet.daemonAddress(0)}, fleet.teamKey(), 4);
    std::this_thread::sleep_for(500ms);
    for (const char *replica : {"s0-r0", "s0-r1", "s0-r2"}) {
        fleet.setBackendFaults(replica, {{"gone_snapshots", json::array {"snapshot-1"}}});
    }
    std::this_thread::sleep_for(500ms);
    load.take();
    std::this_thread::sleep_for(1s);
    const Processes::load_tally tally = load.stop();
    EXPECT_EQ(tally.wrongAnswers, 0U);
    EXPECT_EQ(tally.count("answered"), 0U);
    EXPECT_GT(tally.count("partial"), 0U);
    EXPECT_DOUBLE_EQ(tally.leastCoverage, 0.75);
}
