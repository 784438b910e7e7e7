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

/// Sends one query with a short deadline to one daemon and returns its answer, empty without one.
boost::json::object answerOf(const Processes::test_fleet &fleet, int daemon)
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
        return {};
    }
    return boost::json::parse(outcome.response.body).as_object();
}

/// The coverage of one query's answer, 0 without an answer.
double coverageAt(const Processes::test_fleet &fleet, int daemon)
{
    const boost::json::object answer = answerOf(fleet, daemon);
    const boost::json::value *coverage = answer.if_contains("coverage");
    return coverage == nullptr ? 0.0 : coverage->to_number<double>();
}

/// Shard requests that all stand-in backend servers together have received.
std::uint64_t receivedRequests(Processes::test_fleet &fleet)
{
    std::uint64_t received = 0;
    for (const std::string &replica : fleet.replicaNames()) {
        received += fleet.backendCounters(replica).at("received").to_number<std::uint64_t>();
    }
    return received;
}
} // namespace

TEST(Branches, AnswersCountTheRequestsThatBranchesSent)
{
    Processes::test_fleet fleet(oneOwner());
    std::this_thread::sleep_for(3s);
    // A replica that refuses makes its owner send a second request. So few queries leave the latencies unknown, and
    // without them nothing is hedged, so that the counts must be equal.
    for (int shard = 0; shard < 4; ++shard) {
        fleet.setBackendFaults("s" + std::to_string(shard) + "-r0", {{"shedding", true}});
    }
    constexpr int queries = 18;
    std::uint64_t counted = 0;
    for (int query = 0; query < queries; ++query) {
        const boost::json::object answer = answerOf(fleet, query % 3);
        EXPECT_EQ(answer.at("coverage").to_number<double>(), 1.0);
        counted += answer.at("shard_requests").to_number<std::uint64_t>();
    }
    EXPECT_EQ(counted, receivedRequests(fleet));
    EXPECT_GT(counted, queries * 4U) << "no request was sent twice, so nothing was shown";
}

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
