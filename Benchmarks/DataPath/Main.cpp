#include "DataPath/CountAllocations.h"
#include "DataPath/PlainFanOut.h"
#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ServiceState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibPlatform/BackendCodec.h"
#include "LibPlatform/CallOutcome.h"
#include "LibPlatform/HttpCall.h"
#include "LibPlatform/HttpClient.h"
#include "LibPlatform/HttpRequest.h"
#include "LibPlatform/HttpResponder.h"
#include "LibPlatform/HttpResponse.h"
#include "LibPlatform/HttpServer.h"
#include "LibPlatform/HttpServerOptions.h"
#include "LibPlatform/ShardCall.h"
#include "LibQuery/QueryEvents.h"
#include "LibQuery/ShardAnswer.h"

#include <curl/curl.h>
#include <gflags/gflags.h>

#include <sys/resource.h>

#include <csignal>
#include <cstdio>
#include <iostream>

DEFINE_int32(queries, 400, "queries to send, one after the other");
DEFINE_int32(shards, 25, "shards that each query asks");
DEFINE_int32(first_port, 23400, "TCP port of the first of the stand-ins on 127.0.0.1");

namespace
{
double threadSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_THREAD, &usage);
    constexpr double microsecond = 1e-6;
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
        + microsecond * static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

std::string headerOf(const Platform::http_request &request, const std::string &name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

/// Answers every shard request at once.
void answer(const std::string &shard, const Platform::http_request &request, Platform::http_responder responder)
{
    Platform::http_response response;
    response.body = R"({"request_id":")" + headerOf(request, "x-request-id") + R"(","snapshot":"snapshot-1","shard":")"
        + shard + R"(","incarnation":"1","load":0.5,"cold":false,"leaving":false,)"
        + R"("results":[{"id":"a","score":3.0},{"id":"b","score":2.0},{"id":"c","score":1.0}]})";
    responder.respond(response);
}

/// Runs one query after the other through the functions that the daemon's workers use.
class query_path
{
public:
    explicit query_path(const std::vector<std::string> &addresses)
        : m_client(8)
    {
        Configuration::configuration_document document;
        document.number = 1;
        document.dataCentres["dc"].region = "r";
        Configuration::service_settings settings;
        settings.currentSnapshot = "snapshot-1";
        for (std::size_t index = 0; index < addresses.size(); ++index) {
            const std::string shard = "s" + std::to_string(index);
            settings.replicas[shard + "-r0"] = {shard, addresses[index], "dc", "v1", false};
            m_plan.shards.push_back({shard, 1.0});
        }
        Backend::applyConfiguration(m_service, document, settings, std::chrono::steady_clock::now());
        m_plan.snapshot = "snapshot-1";
        m_plan.route = "lookup";
    }

    std::uint64_t run(int queries)
    {
        std::uint64_t answered = 0;
        for (int number = 0; number < queries; ++number) {
            const Core::time_point now = std::chrono::steady_clock::now();
            m_query = {};
            m_query.plan = m_plan;
            m_query.plan.requestId = "q" + std::to_string(number);
            m_query.plan.deadline = now + std::chrono::seconds(1);
            carryOut(Query::startQuery(m_query, m_service, now, m_random));
            while (!m_query.finished) {
                m_client.run(std::chrono::milliseconds(10));
                carryOut(Query::onTimer(m_query, m_service, std::chrono::steady_clock::now(), m_random));
            }
            answered += m_query.shardsAnswered;
        }
        return answered;
    }

private:
    void carryOut(const Query::query_effects &effects)
    {
        for (const Query::send_attempt &attempt : effects.sends) {
            send(attempt);
        }
    }

    void send(const Query::send_attempt &attempt)
    {
        Platform::shard_call call;
        call.address = m_service.replicas[attempt.target.replica].settings.address;
        call.shard = m_query.plan.shards[attempt.shard].name;
        call.route = m_query.plan.route;
        call.requestId = m_query.plan.requestId;
        call.attemptId = m_query.plan.requestId + "." + std::to_string(attempt.attempt);
        call.snapshot = m_query.plan.snapshot;
        call.text = "q";
        call.timeRemaining = attempt.timeRemaining;
        m_client.start(Platform::encodeShardCall(call),
                       [this, id = attempt.attempt](const Platform::call_outcome &outcome) {
                           auto decoded = Platform::decodeShardAnswer(outcome);
                           const Core::time_point now = std::chrono::steady_clock::now();
                           if (auto *right = std::get_if<Query::shard_answer>(&decoded)) {
                               carryOut(Query::onAnswer(m_query, m_service, id, std::move(*right), now, m_random));
                           } else {
                               carryOut(Query::onFailure(m_query, m_service, id,
                                                         std::get<Backend::failed_attempt>(decoded), now, m_random));
                           }
                       });
    }

    Platform::http_client m_client;
    Backend::service_state m_service;
    Query::query_plan m_plan;
    Query::query_state m_query;
    Core::random_engine m_random {1};
};

struct cost {
    double microseconds = 0.0;
    double allocations = 0.0;
};

template<typename Action> cost measure(Action action)
{
    action(FLAGS_queries / 10 + 1); // Opens the connections.
    const double seconds = threadSeconds();
    const std::uint64_t allocations = Bench::allocationsOfThread();
    action(FLAGS_queries);
    constexpr double microsecondsPerSecond = 1e6;
    const double requests = static_cast<double>(FLAGS_queries) * FLAGS_shards;
    return {(threadSeconds() - seconds) * microsecondsPerSecond / requests,
            static_cast<double>(Bench::allocationsOfThread() - allocations) / requests};
}
} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    std::vector<std::unique_ptr<Platform::http_server>> servers;
    std::vector<std::string> addresses;
    for (int index = 0; index < FLAGS_shards; ++index) {
        Platform::http_server_options options;
        options.address = "127.0.0.1";
        options.port = static_cast<std::uint16_t>(FLAGS_first_port + index);
        options.threads = 1;
        auto server =
            Platform::http_server::start(options,
                                         [shard = "s" + std::to_string(index)](const Platform::http_request &request,
                                                                               Platform::http_responder responder) {
                                             answer(shard, request, std::move(responder));
                                         });
        if (!server) {
            std::cerr << server.error().message << '\n';
            return 1;
        }
        servers.push_back(std::move(server.value()));
        addresses.push_back("127.0.0.1:" + std::to_string(options.port));
    }
    const cost plain = measure([&](int rounds) { Bench::runPlainFanOut(addresses, rounds); });
    query_path path(addresses);
    const cost full = measure([&](int queries) { path.run(queries); });
    std::printf("plain libcurl fan-out: %.1f us and %.1f C++ allocations a shard request\n", plain.microseconds,
                plain.allocations);
    std::printf("query path:            %.1f us and %.1f C++ allocations a shard request\n", full.microseconds,
                full.allocations);
    std::printf("ratio of processor time: %.2f\n", full.microseconds / plain.microseconds);
    for (const auto &server : servers) {
        server->stop();
    }
    return 0;
}
