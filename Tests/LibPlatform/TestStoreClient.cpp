#include "LibPlatform/HttpRequest.h"
#include "LibPlatform/HttpResponse.h"
#include "LibPlatform/HttpServer.h"
#include "LibPlatform/HttpServerOptions.h"
#include "LibPlatform/StoreClient.h"
#include "Processes/FreePort.h"
#include "StandIns/Store.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <thread>

using Core::error_code;
using namespace std::chrono_literals;

namespace
{
struct store_client_test : testing::Test {
    std::uint16_t port = Processes::findFreePort();
    std::atomic<int> forcedStatus {0}; ///< Status of the response to each request; 0: the stand-in store responds.
    StandIns::store store;
    std::unique_ptr<Platform::http_server> server;
    Platform::store_client client {"http://127.0.0.1:" + std::to_string(port), 500ms};

    void SetUp() override
    {
        Platform::http_server_options options;
        options.address = "127.0.0.1";
        options.port = port;
        options.threads = 2;
        options.requestTimeout = std::chrono::minutes(5);
        server = std::move(Platform::http_server::start(
                               options,
                               [this](const Platform::http_request &request, Platform::http_responder responder) {
                                   if (forcedStatus == 0) {
                                       store.handle(request, std::move(responder));
                                       return;
                                   }
                                   Platform::http_response response;
                                   response.status = forcedStatus;
                                   responder.respond(response);
                               })
                               .value());
    }

    void setFaults(const std::string &faults)
    {
        Platform::http_request request;
        request.method = "POST";
        request.path = "/faults";
        request.body = faults;
        store.handle(request, Platform::http_responder(std::make_unique<ignored_connection>()));
    }

    struct ignored_connection final : Platform::http_responder::connection {
        void send(const Platform::http_response & /*response*/) override
        {
        }
    };

    error_code writeError(const std::string &body, const std::string &tag)
    {
        return client.write("c", body, tag).error().code;
    }
};
} // namespace

TEST_F(store_client_test, WritesOnlyIfTheTagMatches)
{
    EXPECT_EQ(client.read("c").error().code, error_code::NotFound);
    const std::string first = client.write("c", "1", "").value();
    EXPECT_EQ(writeError("2", ""), error_code::Conflict);
    const std::string second = client.write("c", "2", first).value();
    EXPECT_EQ(writeError("3", first), error_code::Conflict);
    EXPECT_EQ(client.read("c").value().body, "2");
    EXPECT_EQ(client.watch("c", first, 5s).value()->tag, second);
    EXPECT_FALSE(client.watch("c", second, 50ms).value());
}

TEST_F(store_client_test, ReportsTimedOutUnlessTheWriteWasCertainlyRejected)
{
    setFaults(R"({"lose_replies":1})");
    EXPECT_EQ(writeError("1", ""), error_code::TimedOut);
    EXPECT_EQ(client.read("c").value().body, "1") << "the write took effect";
    for (const int status : {500, 502, 503, 504}) {
        forcedStatus = status;
        EXPECT_EQ(writeError("2", "x"), error_code::TimedOut) << status;
        EXPECT_EQ(client.read("c").error().code, error_code::Unavailable) << status;
    }
    for (const int status : {400, 413, 429}) {
        forcedStatus = status;
        EXPECT_EQ(writeError("2", "x"), error_code::Unavailable) << status;
    }
    Platform::store_client unreachableStore("http://127.0.0.1:" + std::to_string(Processes::findFreePort()), 500ms);
    EXPECT_EQ(unreachableStore.write("c", "2", "x").error().code, error_code::Unavailable)
        << "the connection must be refused";
}

TEST_F(store_client_test, CallsTimeOutWhileStoreIsSilentAndSucceedAfterwards)
{
    const std::string tag = client.write("c", "1", "").value();
    setFaults(R"({"silent":true})");
    EXPECT_EQ(client.read("c").error().code, error_code::TimedOut);
    EXPECT_EQ(client.watch("c", tag, 50ms).error().code, error_code::TimedOut);
    setFaults(R"({"silent":false})");
    EXPECT_EQ(client.read("c").value().body, "1");
}

TEST_F(store_client_test, InterruptEndsRunningWatchImmediately)
{
    const std::string tag = client.write("c", "1", "").value();
    const auto started = std::chrono::steady_clock::now();
    std::thread interrupter([this] {
        std::this_thread::sleep_for(50ms);
        client.interrupt();
    });
    EXPECT_FALSE(client.watch("c", tag, 30s));
    interrupter.join();
    EXPECT_LT(std::chrono::steady_clock::now() - started, 2s);
}
