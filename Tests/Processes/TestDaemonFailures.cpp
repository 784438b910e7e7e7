#include "Processes/CallerLoad.h"
#include "Processes/ChildProcess.h"
#include "Processes/TestFleet.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

using namespace std::chrono_literals;

static std::vector<std::string> daemonAddresses(const Processes::test_fleet &fleet, int count)
{
    std::vector<std::string> addresses;
    addresses.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        addresses.push_back(fleet.daemonAddress(index));
    }
    return addresses;
}

TEST(DaemonFailures, KilledDaemonLosesOnlyWhatItHeld)
{
    Processes::test_fleet fleet({});
    Processes::caller_load load(daemonAddresses(fleet, 3), fleet.teamKey(), 4);
    std::this_thread::sleep_for(1s);
    fleet.daemon(1).signal(SIGKILL);
    std::this_thread::sleep_for(6s);
    load.take();
    std::this_thread::sleep_for(2s);
    const Processes::load_tally later = load.stop();
    EXPECT_EQ(later.count("cut"), 0U) << "callers are no longer sent to the dead daemon";
    EXPECT_GT(later.count("answered"), 100U);
    EXPECT_EQ(later.wrongAnswers, 0U);
    EXPECT_EQ(later.leastCoverage, 1.0);
}

TEST(DaemonFailures, PlannedStopCutsNoRequest)
{
    Processes::test_fleet fleet({});
    Processes::caller_load load(daemonAddresses(fleet, 3), fleet.teamKey(), 4);
    std::this_thread::sleep_for(1s);
    fleet.daemon(1).signal(SIGTERM);
    const std::optional<int> exitCode = fleet.daemon(1).waitForExit(20s);
    std::this_thread::sleep_for(500ms);
    const Processes::load_tally tally = load.stop();
    ASSERT_TRUE(exitCode);
    EXPECT_EQ(*exitCode, 0);
    EXPECT_EQ(tally.count("cut"), 0U);
    EXPECT_EQ(tally.count("answered"), tally.milliseconds.size()) << tally.reasonText();
    EXPECT_EQ(tally.count("unknown") + tally.count("not_run"), 0U);
    EXPECT_EQ(tally.wrongAnswers, 0U);
}

TEST(DaemonFailures, PausedDaemonCatchesUpAndUndoesNothing)
{
    Processes::test_fleet fleet({});
    fleet.daemon(2).signal(SIGSTOP);
    ASSERT_EQ(fleet.patch(0, 1, "while-paused", {{"tier", {{"hedge_budget", 0.01}}}}), 200);
    std::this_thread::sleep_for(3s);
    fleet.daemon(2).signal(SIGCONT);
    EXPECT_TRUE(fleet.waitForNumber(2, 7s));
    EXPECT_EQ(fleet.patch(2, 1, "from-old-state", {{"tier", {{"hedge_budget", 0.02}}}}), 409)
        << "a patch against the number before the pause is stale";
    EXPECT_EQ(fleet.numberInForce(0), 2U);
}
