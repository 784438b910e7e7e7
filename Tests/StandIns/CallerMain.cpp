#include "LibCore/Time.h"
#include "LibPlatform/BlockingHttpClient.h"
#include "LibPlatform/HttpCall.h"
#include "StandIns/AnswerCheck.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(daemon, "127.0.0.1:8080", "address of any daemon, to ask for the entry list");
DEFINE_string(service, "search", "service to query");
DEFINE_string(route, "lookup", "route to query");
DEFINE_int32(queries, 20, "queries to send, one after the other");

namespace json = boost::json;

namespace
{
/// The entry list, kept for its time to live as callers do.
struct entry_list {
    std::vector<std::string> addresses;
    Core::time_point until;
};

struct tally {
    std::vector<double> milliseconds;
    double leastCoverage = 1.0;
    std::uint64_t shardRequests = 0;
    std::uint64_t firstRequests = 0;
    std::uint64_t wrongAnswers = 0;
};

entry_list fetchEntries(Platform::blocking_http_client &client)
{
    Platform::http_call call;
    call.url = "http://" + FLAGS_daemon + "/v1/entries";
    call.timeout = std::chrono::seconds(5);
    const Platform::call_outcome outcome = client.send(std::move(call));
    entry_list list;
    if (outcome.failure != Platform::call_failure::None || outcome.response.status != 200) {
        return list;
    }
    const json::object body = json::parse(outcome.response.body).as_object();
    for (const json::value &entry : body.at("entries").as_array()) {
        list.addresses.emplace_back(entry.at("address").as_string());
    }
    list.until = std::chrono::steady_clock::now()
        + std::chrono::milliseconds(body.at("time_to_live_ms").to_number<std::int64_t>());
    return list;
}

void sendQuery(Platform::blocking_http_client &client, const std::string &address, int number, tally &sums)
{
    const char *key = std::getenv("RAGWORTCRANK_TEAM_KEY");
    const std::string query = "q" + std::to_string(number);
    Platform::http_call call;
    call.method = "POST";
    call.url = "http://" + address + "/v1/query/" + FLAGS_service + "/" + FLAGS_route;
    call.headers = {std::string("Authorization: Bearer ") + (key == nullptr ? "" : key)};
    call.body = json::serialize(json::object {{"query", query}, {"key", query}});
    call.timeout = std::chrono::seconds(10);
    const Core::time_point start = std::chrono::steady_clock::now();
    const Platform::call_outcome outcome = client.send(std::move(call));
    sums.milliseconds.push_back(Core::toMilliseconds(std::chrono::steady_clock::now() - start));
    if (outcome.failure != Platform::call_failure::None) {
        std::cout << R"({"outcome":"no_answer"})" << '\n';
        sums.leastCoverage = 0.0;
        return;
    }
    const json::object answer = json::parse(outcome.response.body).as_object();
    json::object line;
    for (const char *name : {"outcome", "coverage", "snapshot", "shards_answered", "shards_total", "reason"}) {
        if (const json::value *value = answer.if_contains(name)) {
            line[name] = *value;
        }
    }
    std::cout << json::serialize(line) << '\n';
    if (!answer.contains("results")) {
        sums.leastCoverage = 0.0;
        return;
    }
    sums.leastCoverage = std::min(sums.leastCoverage, answer.at("coverage").to_number<double>());
    sums.shardRequests += answer.at("shard_requests").to_number<std::uint64_t>();
    sums.firstRequests += answer.at("shards_total").to_number<std::uint64_t>();
    sums.wrongAnswers += StandIns::answerIsRight(answer, query) ? 0 : 1;
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}
} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Platform::blocking_http_client client;
    entry_list entries;
    tally sums;
    for (int number = 0; number < FLAGS_queries; ++number) {
        if (entries.addresses.empty() || std::chrono::steady_clock::now() >= entries.until) {
            entries = fetchEntries(client);
        }
        if (entries.addresses.empty()) {
            std::cerr << "no entry list from " << FLAGS_daemon << '\n';
            return 1;
        }
        sendQuery(client, entries.addresses[static_cast<std::size_t>(number) % entries.addresses.size()], number, sums);
    }
    const double extra = sums.firstRequests == 0
        ? 0.0
        : static_cast<double>(sums.shardRequests) / static_cast<double>(sums.firstRequests) - 1.0;
    std::cout << json::serialize(json::object {{"queries", FLAGS_queries},
                                               {"p50_ms", quantile(sums.milliseconds, 0.5)},
                                               {"p99_ms", quantile(sums.milliseconds, 0.99)},
                                               {"coverage_min", sums.leastCoverage},
                                               {"extra_load", extra},
                                               {"wrong_answers", sums.wrongAnswers}})
              << '\n';
    return sums.wrongAnswers == 0 ? 0 : 1;
}
