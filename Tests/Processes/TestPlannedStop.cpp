#include "Processes/CallerLoad.h"
#include "Processes/ChildProcess.h"
#include "Processes/TestFleet.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

using namespace std::chrono_literals;

TEST(PlannedStop, CutsNoRequestAndExitsWithZero)
{
    Processes::test_fleet fleet({});
    Processes::caller_load load({fleet.daemonAddress(1), fleet.daemonAddress(2)}, fleet.teamKey(), 4);
    std::this_thread::sleep_for(1s);
    fleet.daemon(0).signal(SIGTERM);
    EXPECT_EQ(fleet.daemon(0).waitForExit(20s), 0);
    std::this_thread::sleep_for(500ms);
    const Processes::load_tally tally = load.stop();
    EXPECT_EQ(tally.count("cut"), 0U);
    EXPECT_EQ(tally.wrongAnswers, 0U);
    EXPECT_GT(tally.count("answered"), 100U);
}

TEST(PlannedStop, EndsSoonAfterASecondSignal)
{
    Processes::test_fleet fleet({});
    fleet.daemon(0).signal(SIGTERM);
    std::this_thread::sleep_for(300ms);
    fleet.daemon(0).signal(SIGTERM);
    EXPECT_EQ(fleet.daemon(0).waitForExit(1500ms), 0) << "nothing ran, so nothing was cut";
}
