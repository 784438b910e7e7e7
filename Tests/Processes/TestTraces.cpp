#include "LibPlatform/BlockingHttpClient.h"
#include "LibPlatform/HttpCall.h"
#include "Processes/TestFleet.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <thread>

using namespace std::chrono_literals;
namespace json = boost::json;

namespace
{
const std::string callersSpan = "00000000000000aa";

/// A span of the caller's trace, as a daemon serves it.
struct kept_span {
    int daemon = 0;
    std::string name;
    std::string parent;
};

/// The spans of one trace at all daemons, by span id.
std::map<std::string, kept_span> spansOf(Processes::test_fleet &fleet, const std::string &traceId)
{
    std::map<std::string, kept_span> found;
    for (int daemon = 0; daemon < 3; ++daemon) {
        for (const json::value &value : fleet.spans(daemon)) {
            const json::object &span = value.as_object();
            const json::value *tag = span.at("tags").as_object().if_contains("trace_id");
            if (tag == nullptr || *tag != json::value(traceId)) {
                continue;
            }
            const json::array &references = span.at("references").as_array();
            found[std::string(span.at("span_context").at("span_id").as_string())] = {
                daemon, std::string(span.at("operation_name").as_string()),
                references.empty() ? "" : std::string(references.at(0).at("span_id").as_string())};
        }
    }
    return found;
}

void sendTraced(const Processes::test_fleet &fleet, int daemon, const std::string &traceId)
{
    Platform::blocking_http_client client;
    Platform::http_call call;
    call.method = "POST";
    call.url = "http://" + fleet.daemonAddress(daemon) + "/v1/query/search/lookup";
    call.headers = {"Authorization: Bearer " + fleet.teamKey(),
                    "traceparent: 00-" + traceId + "-" + callersSpan + "-01"};
    call.body = R"({"query":"q"})";
    call.timeout = 2s;
    ASSERT_EQ(client.send(std::move(call)).response.status, 200);
}

/// The traceparent headers with this trace id that the backend servers received.
std::set<std::string> headersAtBackends(Processes::test_fleet &fleet, const std::string &traceId)
{
    std::set<std::string> found;
    for (const std::string &replica : fleet.replicaNames()) {
        const json::object counters = fleet.backendCounters(replica);
        for (const json::value &header : counters.at("trace_parents").as_array()) {
            const std::string text(header.as_string());
            if (text.find(traceId) != std::string::npos) {
                found.insert(text);
            }
        }
    }
    return found;
}
} // namespace

TEST(Traces, SampledQueryLeavesASpanForEachHop)
{
    Processes::fleet_options options;
    options.ownersPerReplica = 1;
    Processes::test_fleet fleet(options);
    std::this_thread::sleep_for(3s);
    int throughAnother = 0;
    for (int root = 0; root < 3; ++root) {
        const std::string traceId = std::string(31, 'c') + std::to_string(root + 1);
        sendTraced(fleet, root, traceId);
        std::this_thread::sleep_for(200ms);
        const std::map<std::string, kept_span> spans = spansOf(fleet, traceId);
        std::size_t shardRequests = 0;
        for (const auto &[id, span] : spans) {
            shardRequests += span.name == "shard request" ? 1 : 0;
            if (span.name == "query") {
                EXPECT_EQ(span.daemon, root);
                EXPECT_EQ(span.parent, callersSpan);
                continue;
            }
            ASSERT_TRUE(spans.contains(span.parent)) << span.name;
            const kept_span &parent = spans.at(span.parent);
            if (span.name == "branch") {
                EXPECT_EQ(parent.name, "branch call");
                EXPECT_EQ(parent.daemon, root);
                EXPECT_NE(span.daemon, root);
                ++throughAnother;
            } else {
                EXPECT_TRUE(parent.name == "query" || parent.name == "branch") << parent.name;
            }
        }
        EXPECT_GE(shardRequests, 4U);
        EXPECT_EQ(headersAtBackends(fleet, traceId).size(), shardRequests)
            << "each attempt has a traceparent of its own";
    }
    EXPECT_GT(throughAnother, 0) << "no query passed through another daemon";
}
