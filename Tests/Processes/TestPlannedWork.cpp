#include "Processes/CallerLoad.h"
#include "Processes/TestFleet.h"

#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <vector>

using namespace std::chrono_literals;
namespace json = boost::json;

namespace
{
constexpr std::chrono::seconds noNewWorkAfter {3}; ///< From the moment that a change was accepted or reported.

std::chrono::milliseconds sinceLastRequest(Processes::test_fleet &fleet, const std::string &replica)
{
    const json::object counters = fleet.backendCounters(replica);
    return std::chrono::milliseconds(counters.at("since_last_request_ms").to_number<std::int64_t>());
}

/// Waits until the bound has passed and then a while; no request may have come after the bound.
void expectNoNewWork(Processes::test_fleet &fleet, const std::vector<std::string> &replicas)
{
    constexpr std::chrono::milliseconds watched {2500};
    std::this_thread::sleep_for(noNewWorkAfter + watched);
    for (const std::string &replica : replicas) {
        EXPECT_GE(sinceLastRequest(fleet, replica), watched) << replica;
    }
}

void expectAllAnswered(const Processes::load_tally &tally)
{
    EXPECT_GT(tally.count("answered"), 100U);
    EXPECT_EQ(tally.count("partial") + tally.count("not_run") + tally.count("unknown") + tally.count("cut"), 0U)
        << tally.reasonText();
    EXPECT_EQ(tally.leastCoverage, 1.0);
    EXPECT_EQ(tally.wrongAnswers, 0U);
}
} // namespace

TEST(PlannedWork, DataCentreTakenOutGetsNoNewWorkAndWorksAgainOnItsReturn)
{
    Processes::test_fleet fleet({});
    Processes::caller_load load({fleet.daemonAddress(0), fleet.daemonAddress(1)}, fleet.teamKey(), 4);
    std::this_thread::sleep_for(1s);
    const std::vector<std::string> replicas {"s0-r0", "s1-r0", "s2-r0", "s3-r0"}; // Those of dc-a.
    for (const std::string &replica : replicas) {
        ASSERT_LT(sinceLastRequest(fleet, replica), 900ms) << replica;
    }
    ASSERT_EQ(fleet.patch(0, 1, "out", {{"data_centres", {{"dc-a", {{"out", true}}}}}}), 200);
    expectNoNewWork(fleet, replicas);
    ASSERT_EQ(fleet.patch(1, 2, "in", {{"data_centres", {{"dc-a", {{"out", false}}}}}}), 200);
    std::this_thread::sleep_for(6s);
    for (const std::string &replica : replicas) {
        EXPECT_LT(sinceLastRequest(fleet, replica), 2s) << replica;
    }
    expectAllAnswered(load.stop());
}

TEST(PlannedWork, LeavingReplicaGetsNoNewWork)
{
    Processes::test_fleet fleet({});
    Processes::caller_load load({fleet.daemonAddress(0), fleet.daemonAddress(1)}, fleet.teamKey(), 4);
    std::this_thread::sleep_for(1s);
    fleet.setBackendFaults("s0-r0", {{"leaving", true}});
    const json::object replica {{"leaving", true}};
    const json::object service {{"replicas", {{"s1-r1", replica}}}};
    ASSERT_EQ(fleet.patch(0, 1, "leaving", {{"services", {{"search", service}}}}), 200);
    expectNoNewWork(fleet, {"s0-r0", "s1-r1"});
    expectAllAnswered(load.stop());
}
