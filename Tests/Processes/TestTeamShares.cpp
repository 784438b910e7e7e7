#include "LibPlatform/BlockingHttpClient.h"
#include "LibPlatform/HttpCall.h"
#include "Processes/CallerLoad.h"
#include "Processes/TestFleet.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <gtest/gtest.h>

#include <thread>

using namespace std::chrono_literals;

static Platform::http_response sendQuery(const std::string &daemon, const std::string &key)
{
    Platform::blocking_http_client client;
    Platform::http_call call;
    call.method = "POST";
    call.url = "http://" + daemon + "/v1/query/search/lookup";
    call.headers = {"Authorization: Bearer " + key};
    call.body = R"({"query":"q"})";
    call.timeout = 5s;
    const Platform::call_outcome outcome = client.send(std::move(call));
    EXPECT_EQ(outcome.failure, Platform::call_failure::None);
    return outcome.response;
}

TEST(TeamSharesOfProcesses, ATeamOverItsShareIsRefusedWhileAnotherIsServed)
{
    Processes::test_fleet fleet {{}};
    const boost::json::object other {{"share", 0.4}, {"services", nullptr}};
    // The pool bears 100 queries a second of four shards each.
    ASSERT_EQ(fleet.patch(0, 1, "1-capacity",
                          {{"tier", boost::json::object {{"pool_capacity", 400}}},
                           {"teams", boost::json::object {{"other-team", other}}}}),
              200);
    ASSERT_TRUE(fleet.waitForNumber(2, 7s));
    Processes::caller_load greedy({fleet.daemonAddress(0), fleet.daemonAddress(1), fleet.daemonAddress(2)},
                                  fleet.teamKey(), 4);
    std::this_thread::sleep_for(5s);
    int served = 0;
    int refused = 0;
    for (int query = 0; query < 60; ++query) {
        served += sendQuery(fleet.daemonAddress(query % 3), fleet.otherTeamKey()).status == 200 ? 1 : 0;
        const Platform::http_response answer = sendQuery(fleet.daemonAddress(query % 3), fleet.teamKey());
        if (answer.status == 429 || answer.status == 503) {
            ++refused;
            EXPECT_TRUE(answer.headers.contains("retry-after"));
            EXPECT_EQ(boost::json::parse(answer.body).at("outcome").as_string(), "not_run");
        }
        std::this_thread::sleep_for(50ms);
    }
    EXPECT_GT(refused, 0);
    EXPECT_GE(served, 57) << "its share, within 5%";
    EXPECT_EQ(greedy.stop().wrongAnswers, 0U);
}
