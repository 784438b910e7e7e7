#include "LibPlatform/CallOutcome.h"
#include "LibPlatform/HttpCall.h"
#include "LibPlatform/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <thread>

using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

/// A faulty backend server sends a body without end. It was kept until the memory was used up.
TEST(HttpClient, FailsOnBodyWithoutEnd)
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    std::size_t sent = 0;
    std::thread sender([&]() {
        tcp::socket peer = acceptor.accept();
        boost::system::error_code error;
        boost::asio::write(peer, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\n")), error);
        const std::string bytes(65536, 'x');
        constexpr std::size_t maximumBytes = 200'000'000; // A client without a limit must not use up the memory.
        while (!error && sent < maximumBytes) {
            sent += boost::asio::write(peer, boost::asio::buffer(bytes), error);
        }
    });
    Platform::http_client client(1);
    Platform::http_call call;
    call.url = "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/";
    call.timeout = 20s;
    std::optional<Platform::call_outcome> outcome;
    client.start(std::move(call), [&](Platform::call_outcome ended) { outcome = std::move(ended); });
    while (!outcome) {
        client.run(100ms);
    }
    EXPECT_EQ(outcome->failure, Platform::call_failure::ConnectionLost);
    sender.join();
    constexpr std::size_t boundBytes = 40'000'000; // The limit of a body, and the sockets' buffers.
    EXPECT_LT(sent, boundBytes);
}
