#include "LibCore/Verify.h"
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
#include "LibQuery/ShardAnswer.h"
#include "Measures.h"
#include "Support/ProcessorTime.h"

namespace Capacity
{
static constexpr std::uint16_t serverPort = 29'311;
static constexpr const char *answerBody =
    R"({"request_id":"vm-0.1","snapshot":"s","shard":"shard-7","incarnation":"i","load":0.5,"cold":false,)"
    R"("leaving":false,"results":[{"id":"s/shard-7/q/0","score":3},{"id":"s/shard-7/q/1","score":2},)"
    R"({"id":"s/shard-7/q/2","score":1}]})";

/// Sends shard requests, always `inFlight` at once, and returns the client thread's processor time.
static Core::duration sendCalls(int calls, int inFlight)
{
    Platform::http_client client(inFlight);
    Platform::shard_call shard;
    shard.address = "127.0.0.1:" + std::to_string(serverPort);
    shard.shard = "shard-7";
    shard.route = "lookup";
    shard.requestId = "vm-0.1";
    shard.attemptId = "vm-0.1.7";
    shard.snapshot = "s";
    shard.text = "a query of ordinary length";
    shard.timeRemaining = std::chrono::seconds(10);
    int started = 0;
    int ended = 0;
    std::function<void()> startOne = [&] {
        if (started == calls) {
            return;
        }
        ++started;
        client.start(Platform::encodeShardCall(shard), [&](const Platform::call_outcome &outcome) {
            VERIFY(std::holds_alternative<Query::shard_answer>(Platform::decodeShardAnswer(outcome)));
            ++ended;
            startOne();
        });
    };
    const Core::duration start = Bench::threadProcessorTime();
    for (int index = 0; index < inFlight; ++index) {
        startOne();
    }
    while (ended < calls) {
        client.run(std::chrono::milliseconds(100));
    }
    return Bench::threadProcessorTime() - start;
}

std::vector<measurement> measureHttp()
{
    Platform::http_server_options options;
    options.address = "127.0.0.1";
    options.port = serverPort;
    options.threads = 4;
    const auto server =
        Platform::http_server::start(options, [](const Platform::http_request &, Platform::http_responder responder) {
            Platform::http_response response;
            response.body = answerBody;
            responder.respond(response);
        });
    VERIFY(server.has_value());
    measurement client {"branch", "shard requests by HTTP, client", "ms", "requests", {}, {}, 75'000, 350};
    measurement entry {"entry", "answers to callers by HTTP, server", "ms", "requests", {}, {}, 144, 100};
    constexpr int inFlight = 64;
    sendCalls(2000, inFlight);
    for (const int calls : {5'000, 10'000, 20'000, 40'000}) {
        const Core::duration allBefore = Bench::processProcessorTime();
        const Core::duration clientTime = sendCalls(calls, inFlight);
        const Core::duration serverTime = Bench::processProcessorTime() - allBefore - clientTime;
        client.sizes.push_back(calls);
        client.values.push_back(Core::toMilliseconds(clientTime));
        entry.sizes.push_back(calls);
        entry.values.push_back(Core::toMilliseconds(serverTime));
    }
    server.value()->stop();
    return {client, entry};
}
} // namespace Capacity
