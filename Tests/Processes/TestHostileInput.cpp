#include "Processes/CallerLoad.h"
#include "Processes/TestFleet.h"
#include "StandIns/RawConnection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

using namespace std::chrono_literals;
namespace json = boost::json;

namespace
{
struct hostile_request {
    std::string start; ///< Method and path.
    std::string headers; ///< Each line with its end.
    std::string body;
    std::vector<int> statuses; ///< Those allowed.
};

std::string bytesOf(const hostile_request &request)
{
    return request.start + " HTTP/1.1\r\nHost: a\r\n" + request.headers
        + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

std::vector<hostile_request> hostileQueries(const Processes::test_fleet &fleet)
{
    const std::string lookup = "POST /v1/query/search/lookup";
    const std::string key = "Authorization: Bearer " + fleet.teamKey() + "\r\n";
    const std::string good = R"({"query":"q"})";
    std::vector<hostile_request> requests {
        {lookup, "", good, {401}},
        {lookup, "Authorization: Bearer wrong\r\n", good, {401}},
        {lookup, "Authorization: Bearer \r\n", good, {401}},
        {lookup, "Authorization: " + fleet.teamKey() + "\r\n", good, {401}},
        {lookup, "Authorization: Bearer " + fleet.operatorKey() + "\r\n", good, {401}},
        {lookup, "Authorization: Bearer " + fleet.otherTeamKey() + "\r\n", good, {403}},
        {"GET /v1/query/search/lookup", key, good, {405}},
        {"DELETE /v1/query/search/lookup", key, "", {405}},
        {"POST /v1/query/nothing/lookup", key, good, {404}},
        {"POST /v1/query/search/nothing", key, good, {404}},
        {"POST /v1/query/search/book", key, good, {400}},
        {"POST /v1/query/search/book", key + "X-Request-Id: invented\r\n", R"({"query":"q","key":"k"})", {400}},
        {lookup, key + "X-Request-Id: a b\r\n", good, {400}},
        {lookup, key + "X-Request-Id: " + std::string(500, 'i') + "\r\n", good, {400}},
        {lookup, key + "X-Large: " + std::string(100'000, 'x') + "\r\n", good, {431}},
        {lookup, key, std::string(3'000'000, 'x'), {413}},
    };
    for (const std::string path :
         {"/v1/query/", "/v1/query/search", "/v1/query/search/", "/v1/query//lookup", "/v1/query/search//lookup",
          "/v1/query/search%2Flookup", "/v1/query/search/%6Cookup", "/v1/query/../operator/status",
          "/v1/query/search/lookup/more", "/v1/query/search/..%2F..%2Fhealthz", "/v1/query/search/%00"}) {
        requests.push_back({"POST " + path, key, good, {400, 404}});
    }
    requests.push_back({"POST /v1/query/search/" + std::string(20'000, 'p'), key, good, {400, 404}});
    for (const std::string body :
         {"", "{", "null", "[]", "\"q\"", R"({"query":7})", R"({"query":null})", R"({"colour":"red"})",
          R"({"query":"q","key":{}})", R"({"query":"q","deadline_ms":0})", R"({"query":"q","deadline_ms":-1})",
          R"({"query":"q","deadline_ms":1e9})", R"({"query":"q","deadline_ms":99999999999999999999})",
          R"({"query":"q","deadline_ms":"10"})", R"({"query":"q"}{"query":"r"})", "{\"query\":\"\xff\xfe\"}"}) {
        requests.push_back({lookup, key, body, {400}});
    }
    std::string nested(5'000, '[');
    requests.push_back({lookup, key, R"({"query":)" + nested + "}", {400}});
    return requests;
}

std::vector<hostile_request> hostileOperations(const Processes::test_fleet &fleet)
{
    const std::string patch = "PATCH /v1/operator/configuration";
    const std::string key = "Authorization: Bearer " + fleet.operatorKey() + "\r\n";
    return {
        {patch + "?base=1&patch_id=1-a", "", "{}", {401}},
        {patch + "?base=1&patch_id=1-a", "Authorization: Bearer wrong\r\n", "{}", {401}},
        {patch + "?base=1&patch_id=1-a", "Authorization: Bearer " + fleet.teamKey() + "\r\n", "{}", {401}},
        {patch, key, "{}", {400}},
        {patch + "?base=-1&patch_id=1-a", key, "{}", {400}},
        {patch + "?base=1&patch_id=1-a", key, "{", {422}},
        {patch + "?base=1&patch_id=1-a", key, "[]", {422}},
        {patch + "?base=1&patch_id=1-a", key, R"({"tier":7,"colour":1})", {422}},
        {"GET /v1/operator/changes/many", key, "", {400}},
        {"GET /v1/operator/nothing", key, "", {404}},
        {"GET /nothing", "", "", {404}},
    };
}

/// Sends one hostile request on a connection of its own and returns the answer.
json::object answerTo(const Processes::test_fleet &fleet, const hostile_request &request)
{
    StandIns::raw_connection connection(fleet.daemonPort(0));
    connection.send(bytesOf(request));
    std::string answer = connection.readAnswer(2s);
    const std::string shown = request.start.substr(0, 60) + " " + request.body.substr(0, 60);
    const int status = StandIns::statusOf(answer);
    EXPECT_NE(std::find(request.statuses.begin(), request.statuses.end(), status), request.statuses.end())
        << shown << '\n'
        << answer.substr(0, 400);
    json::object body = StandIns::bodyOf(answer);
    EXPECT_FALSE(body.empty()) << shown << '\n' << answer.substr(0, 400);
    return body;
}
} // namespace

TEST(HostileInput, GetsAClearErrorAndHarmsNothingElse)
{
    Processes::test_fleet fleet({});
    Processes::caller_load load({fleet.daemonAddress(0)}, fleet.teamKey(), 2);
    for (const hostile_request &request : hostileQueries(fleet)) {
        const json::object body = answerTo(fleet, request);
        const std::string shown = request.start.substr(0, 60) + " " + request.body.substr(0, 60);
        const json::value *outcome = body.if_contains("outcome");
        EXPECT_TRUE(outcome != nullptr && *outcome == "not_run") << shown;
        EXPECT_TRUE(body.contains("reason")) << shown;
    }
    for (const hostile_request &request : hostileOperations(fleet)) {
        EXPECT_TRUE(answerTo(fleet, request).contains("error")) << request.start;
    }
    const std::string key = "Authorization: Bearer " + fleet.teamKey() + "\r\n";
    for (const std::string trace : {"", "00", "zz-", "00-00000000000000000000000000000000-0000000000000000-01"}) {
        const std::string header = "traceparent: " + trace + "\r\n";
        EXPECT_EQ(answerTo(fleet, {"POST /v1/query/search/lookup", key + header, R"({"query":"q"})", {200}})["outcome"],
                  "answered")
            << "a traceparent that cannot be read is replaced: " << trace;
    }
    StandIns::raw_connection halfClosed(fleet.daemonPort(0));
    halfClosed.send(bytesOf({"POST /v1/query/search/lookup", key, R"({"query":"q"})", {}}));
    halfClosed.closeSending();
    halfClosed.read(2s);
    EXPECT_TRUE(halfClosed.closed());

    std::this_thread::sleep_for(1s);
    const Processes::load_tally tally = load.stop();
    EXPECT_GT(tally.count("answered"), 100U);
    EXPECT_EQ(tally.count("answered"), tally.milliseconds.size()) << tally.reasonText();
    EXPECT_EQ(tally.count("cut") + tally.count("not_run") + tally.count("unknown"), 0U) << tally.reasonText();
    EXPECT_EQ(tally.leastCoverage, 1.0);
    EXPECT_EQ(tally.wrongAnswers, 0U);
    EXPECT_EQ(fleet.numberInForce(0), 1U);
    const std::string logs = fleet.daemonLogs();
    EXPECT_NE(logs.find("configuration_in_force"), std::string::npos);
    for (const std::string &secret : {fleet.teamKey(), fleet.otherTeamKey(), fleet.operatorKey()}) {
        EXPECT_EQ(logs.find(secret), std::string::npos) << secret;
    }
}

TEST(HostileInput, SlowAnswerWithinItsDeadlineIsNotTakenForASlowSender)
{
    Processes::test_fleet fleet({});
    const json::object service {{"routes", {{"patient", {{"deadline_ms", 8000}}}}}};
    ASSERT_EQ(fleet.patch(0, 1, "patient", {{"services", {{"search", service}}}}), 200);
    fleet.setAllBackendFaults({{"service_time_us", 6'500'000}});
    const std::string key = "Authorization: Bearer " + fleet.teamKey() + "\r\n";
    StandIns::raw_connection connection(fleet.daemonPort(0));
    connection.send(bytesOf({"POST /v1/query/search/patient", key, R"({"query":"q"})", {}}));
    const std::string answer = connection.readAnswer(9s);
    EXPECT_NE(StandIns::statusOf(answer), 408) << answer;
    EXPECT_TRUE(StandIns::bodyOf(answer).contains("outcome")) << answer;
}
