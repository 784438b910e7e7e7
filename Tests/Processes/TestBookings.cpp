#include "LibPlatform/BlockingHttpClient.h"
#include "Processes/BookingCalls.h"
#include "Processes/BookingLoad.h"
#include "Processes/ChildProcess.h"
#include "Processes/TestFleet.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

using namespace std::chrono_literals;

/// Checks each booking against what the backend servers ran.
static void checkBookings(Processes::test_fleet &fleet, const std::vector<Processes::booking_record> &records)
{
    const std::map<std::string, std::uint64_t> runs = fleet.runs();
    std::size_t answered = 0;
    std::size_t refused = 0;
    for (const Processes::booking_record &record : records) {
        const auto found = runs.find(record.requestId);
        const std::uint64_t count = found == runs.end() ? 0 : found->second;
        EXPECT_LE(count, 1U) << record.requestId << " ran more than once";
        if (record.answered) {
            EXPECT_EQ(count, 1U) << record.requestId;
        }
        if (record.saidNotRun) {
            EXPECT_EQ(count, 0U) << record.requestId << " was said not to have run";
        }
        answered += record.answered ? 1 : 0;
        refused += record.saidNotRun ? 1 : 0;
    }
    EXPECT_GT(answered, 50U);
    EXPECT_GT(refused, 10U) << "requests that were asked for elsewhere first are refused for good";
}

static std::vector<std::string> allDaemons(const Processes::test_fleet &fleet)
{
    return {fleet.daemonAddress(0), fleet.daemonAddress(1), fleet.daemonAddress(2)};
}

TEST(Bookings, RunAtMostOnceWhileADaemonIsKilledAndReplaced)
{
    Processes::test_fleet fleet({});
    Processes::booking_load load(allDaemons(fleet), fleet.teamKey(), 4);
    std::this_thread::sleep_for(1500ms);
    fleet.daemon(1).signal(SIGKILL);
    fleet.daemon(1).waitForExit(5s);
    std::this_thread::sleep_for(500ms);
    fleet.restartDaemon(1);
    std::this_thread::sleep_for(3s);
    const auto records = load.stop();
    checkBookings(fleet, records);
}

TEST(Bookings, RunAtMostOnceThroughBranchesWhileAnOwnerIsKilledAndOnePaused)
{
    Processes::fleet_options options;
    options.ownersPerReplica = 1;
    Processes::test_fleet fleet(options);
    Processes::booking_load load(allDaemons(fleet), fleet.teamKey(), 4);
    std::this_thread::sleep_for(1500ms);
    fleet.daemon(1).signal(SIGKILL);
    fleet.daemon(1).waitForExit(5s);
    fleet.daemon(2).signal(SIGSTOP);
    std::this_thread::sleep_for(2s);
    fleet.daemon(2).signal(SIGCONT);
    fleet.restartDaemon(1);
    std::this_thread::sleep_for(4s);
    const auto records = load.stop();
    checkBookings(fleet, records);
}

TEST(Bookings, RunAtMostOnceWhileBackendServersStaySilentOrShed)
{
    Processes::test_fleet fleet({});
    Processes::booking_load load(allDaemons(fleet), fleet.teamKey(), 4);
    std::this_thread::sleep_for(1s);
    fleet.setBackendFaults("s0-r0", {{"silent", true}});
    fleet.setBackendFaults("s1-r1", {{"silent", true}});
    fleet.setBackendFaults("s2-r2", {{"shedding", true}});
    fleet.setBackendFaults("s3-r0", {{"failing", true}});
    std::this_thread::sleep_for(4s);
    const auto records = load.stop();
    checkBookings(fleet, records);
}

TEST(Bookings, RunAtMostOnceWhileADaemonIsPaused)
{
    Processes::test_fleet fleet({});
    Processes::booking_load load(allDaemons(fleet), fleet.teamKey(), 4);
    std::this_thread::sleep_for(1s);
    fleet.daemon(2).signal(SIGSTOP);
    std::this_thread::sleep_for(4s);
    fleet.daemon(2).signal(SIGCONT);
    std::this_thread::sleep_for(2s);
    const auto records = load.stop();
    checkBookings(fleet, records);
}

TEST(Bookings, RepeatAfterItsRouteIsGoneHearsWhatBecameOfIt)
{
    Processes::test_fleet fleet({});
    Platform::blocking_http_client client;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    Processes::booking_record record;
    record.requestId = Processes::incarnationOf(client, fleet.daemonAddress(0)) + "."
        + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()) + ".r";
    Processes::sendBooking(client, fleet.daemonAddress(0), fleet.teamKey(), record);
    ASSERT_TRUE(record.answered);
    const boost::json::object routes {{"book", nullptr}};
    ASSERT_EQ(fleet.patch(0, 1, "no-route", {{"services", {{"search", {{"routes", routes}}}}}}), 200);
    ASSERT_TRUE(fleet.waitForNumber(2, 7s));
    for (const std::string &daemon : allDaemons(fleet)) {
        Processes::sendBooking(client, daemon, fleet.teamKey(), record);
    }
    EXPECT_FALSE(record.saidNotRun) << "it ran, so no daemon may say that it did not";
}
