#include "LibConfiguration/Limits.h"
#include "LibPlatform/HttpRequest.h"
#include "LibPlatform/HttpResponder.h"
#include "LibPlatform/HttpResponse.h"
#include "LibPlatform/HttpServer.h"
#include "LibPlatform/HttpServerOptions.h"
#include "Processes/FreePort.h"
#include "StandIns/RawConnection.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

using namespace std::chrono_literals;

namespace
{
constexpr std::chrono::milliseconds shortTimeout {1000};

/// Responds to each request with its path and body. Holds the response to /later back until releaseHeldResponse() is
/// called.
struct http_server_test : testing::Test {
    std::uint16_t port = Processes::findFreePort();
    std::atomic<int> requests {0};
    std::mutex mutex;
    std::optional<Platform::http_responder> heldResponder;
    std::unique_ptr<Platform::http_server> server;

    void SetUp() override
    {
        Platform::http_server_options options;
        options.address = "127.0.0.1";
        options.port = port;
        options.requestTimeout = shortTimeout;
        options.maximumRequestBytes = 200'000;
        server = std::move(Platform::http_server::start(options, [this](const auto &request, auto responder) {
                               handle(request, std::move(responder));
                           }).value());
    }

    void handle(const Platform::http_request &request, Platform::http_responder responder)
    {
        ++requests;
        if (request.path == "/later") {
            const std::scoped_lock lock(mutex);
            heldResponder.emplace(std::move(responder));
            return;
        }
        Platform::http_response response;
        response.body = request.path + " " + request.body;
        responder.respond(response);
    }

    void releaseHeldResponse()
    {
        const std::scoped_lock lock(mutex);
        ASSERT_TRUE(heldResponder);
        Platform::http_response response;
        response.body = "/later";
        heldResponder->respond(response);
    }
};
} // namespace

TEST_F(http_server_test, RequestTimeoutExceedsMaximumRouteDeadline)
{
    EXPECT_GT(Platform::http_server_options().requestTimeout, Configuration::maximumRouteDeadline);
}

TEST_F(http_server_test, ReassemblesRequestsSentByteByByteAndKeepsTheConnection)
{
    StandIns::raw_connection connection(port);
    for (int round = 0; round < 2; ++round) {
        for (const char byte : std::string("POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody")) {
            ASSERT_TRUE(connection.send({&byte, 1}));
            std::this_thread::sleep_for(1ms);
        }
        const std::string answer = connection.read(100ms);
        EXPECT_EQ(StandIns::statusOf(answer), 200) << answer;
        EXPECT_TRUE(answer.ends_with("/a body")) << answer;
    }
    EXPECT_EQ(requests, 2);
}

TEST_F(http_server_test, ClosesConnectionWithoutRunningAPipelinedRequest)
{
    StandIns::raw_connection pipelined(port);
    pipelined.send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
    const std::string answer = pipelined.read(200ms);
    EXPECT_NE(answer.find("Connection: Close"), std::string::npos) << answer;
    EXPECT_TRUE(answer.ends_with("/a ")) << answer;

    StandIns::raw_connection sequential(port);
    sequential.send("GET /later HTTP/1.1\r\n\r\n");
    EXPECT_EQ(sequential.read(100ms), "");
    sequential.send("GET /b HTTP/1.1\r\n\r\n");
    EXPECT_EQ(sequential.read(100ms), "") << "a response to the second request would be taken for that to the first";
    releaseHeldResponse();
    const std::string late = sequential.read(200ms);
    EXPECT_NE(late.find("Connection: Close"), std::string::npos) << late;
    EXPECT_TRUE(late.ends_with("/later")) << late;
    EXPECT_EQ(requests, 2);
}

TEST_F(http_server_test, RejectsInvalidRequestOnceAndReadsNoFurtherInput)
{
    const std::string large(100'000, 'x');
    const std::vector<std::pair<std::string, int>> refused {
        {"NONSENSE\r\n\r\n", 400},
        {"FETCH /a HTTP/1.1\r\n\r\n", 400},
        {"GET /a HTTP/7.7\r\n\r\n", 400},
        {"GET /a HTTP/1.1\r\nX-Large: " + large + "\r\n\r\n", 431},
        {"POST /a HTTP/1.1\r\nContent-Length: 300000\r\n\r\n", 413},
        {"POST /a HTTP/1.1\r\nContent-Length: 99999999999999\r\n\r\n", 413},
        {"POST /a HTTP/1.1\r\nContent-Length: 5\r\ncontent-length: 6\r\n\r\n", 400},
        {"POST /a HTTP/1.1\r\nContent-Length:   \r\n\r\n", 400},
        {"POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
        {"POST /a HTTP/1.1\r\nContent-Length: many\r\n\r\n", 400},
    };
    for (const auto &[bytes, status] : refused) {
        StandIns::raw_connection connection(port);
        connection.send(bytes + "GET /b HTTP/1.1\r\n\r\n");
        const std::string answer = connection.read(150ms);
        EXPECT_EQ(StandIns::statusOf(answer), status) << bytes.substr(0, 60) << '\n' << answer;
        EXPECT_EQ(StandIns::bodyOf(answer)["outcome"], "not_run") << bytes.substr(0, 60) << '\n' << answer;
    }
    EXPECT_EQ(requests, 0);
}

TEST_F(http_server_test, ClosesConnectionsOfSlowSendersWhileServingOthers)
{
    for (const char *start : {"GET /a HTTP/1.1\r\nX-Slow: ", "POST /a HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"}) {
        StandIns::raw_connection slow(port);
        slow.send(start);
        const auto begin = std::chrono::steady_clock::now();
        while (!slow.closed() && std::chrono::steady_clock::now() < begin + 5 * shortTimeout) {
            slow.send("x");
            slow.read(50ms);
            StandIns::raw_connection other(port);
            other.send("GET /good HTTP/1.1\r\n\r\n");
            EXPECT_TRUE(other.read(20ms).ends_with("/good "));
        }
        EXPECT_TRUE(slow.closed()) << start;
    }
}
