#include "LibPlatform/BlockingHttpClient.h"
#include "LibPlatform/HttpCall.h"
#include "Processes/CallerLoad.h"
#include "Processes/ChildProcess.h"
#include "Processes/TestFleet.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <thread>

using namespace std::chrono_literals;

namespace
{
Processes::fleet_options oneOwner()
{
    Processes::fleet_options options;
    options.ownersPerReplica = 1;
    return options;
}

std::vector<std::string> allDaemons(const Processes::test_fleet &fleet)
{
    return {fleet.daemonAddress(0), fleet.daemonAddress(1), fleet.daemonAddress(2)};
}

/// Sends one query with a short deadline to one daemon and returns the coverage of its answer, 0 without one.
double coverageAt(const Processes::test_fleet &fleet, int daemon)
{
    Platform::blocking_http_client client;
    Platform::http_call call;
    call.method = "POST";
    call.url = "http://" + fleet.daemonAddress(daemon) + "/v1/query/search/lookup";
    call.headers = {"Authorization: Bearer " + fleet.teamKey()};
    call.body = R"({"query":"q","deadline_ms":300})";
    call.timeout = 2s;
    const Platform::call_outcome outcome = client.send(std::move(call));
    if (outcome.failure != Platform::call_failure::None) {
        return 0.0;
    }
    const boost::json::object answer = boost::json::parse(outcome.response.body).as_object();
    const boost::json::value *coverage = answer.if_contains("coverage");
    return coverage == nullptr ? 0.0 : coverage->to_number<double>();
}
} // namespace

TEST(Branches, QueriesThroughOwnersGiveTheSameAnswers)
{
    Processes::test_fleet fleet(oneOwner());
    std::this_thread::sleep_for(3s);
    Processes::caller_load load(allDaemons(fleet), fleet.teamKey(), 4);
    std::this_thread::sleep_for(2s);
    const Processes::load_tally tally = load.stop();
    EXPECT_GT(tally.count("answered"), 100U);
    EXPECT_EQ(tally.wrongAnswers, 0U);
    EXPECT_EQ(tally.leastCoverage, 1.0);

    int throughAnother = 0;
    for (int paused = 0; paused < 3; ++paused) {
        fleet.daemon(paused).signal(SIGSTOP);
        throughAnother += coverageAt(fleet, (paused + 1) % 3) < 1.0 ? 1 : 0;
        fleet.daemon(paused).signal(SIGCONT);
    }
    EXPECT_GT(throughAnother, 0) << "the owner's pause must show, or no query passed through it";
}

TEST(Branches, KilledOwnerIsReplaced)
{
    Processes::test_fleet fleet(oneOwner());
    std::this_thread::sleep_for(3s);
    Processes::caller_load load(allDaemons(fleet), fleet.teamKey(), 4);
    fleet.daemon(1).signal(SIGKILL);
    std::this_thread::sleep_for(14s);
    load.take();
    std::this_thread::sleep_for(2s);
    const Processes::load_tally later = load.stop();
    std::string outcomes;
    for (const auto &[name, count] : later.outcomes) {
        outcomes += name + " " + std::to_string(count) + " ";
    }
    EXPECT_GT(later.count("answered"), 100U) << outcomes;
    EXPECT_EQ(later.wrongAnswers, 0U);
    EXPECT_EQ(later.leastCoverage, 1.0);
}
