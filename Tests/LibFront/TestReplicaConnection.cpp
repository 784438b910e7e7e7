#include "Support/LoopFixture.h"
#include "Support/RawServer.h"

#include "LibFront/ReplicaConnection.h"

#include <cerrno>
#include <optional>
#include <thread>

#include <sys/socket.h>

using namespace std::chrono_literals;

namespace
{
constexpr const char *completeResponse = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 4\r\n\r\nbody";

void sendRepeatedly(raw_connection &peer, const std::string &bytes, int count)
{
    for (int index = 0; index < count && !peer.ended; ++index) {
        peer.send(bytes);
    }
}

/// Sends until the peer closes the connection, but not so much that a reader without a limit exhausts the memory.
/// Returns how much was sent.
std::size_t sendWithoutEnd(int socket)
{
    constexpr std::size_t maximumBytes = 64'000'000;
    const std::string bytes(65536, 'x');
    std::size_t sent = 0;
    while (sent < maximumBytes) {
        const ssize_t count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN) {
            break;
        }
        sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        std::this_thread::yield();
    }
    return sent;
}

class replica_connection_test : public loop_fixture
{
protected:
    void connectTo(raw_server &server)
    {
        m_connection =
            std::make_shared<Front::replica_connection>(m_loop, m_timers, "Request-Id", [this]() { ++m_changes; });
        m_connection->connect(server.address());
    }

    void send(const std::string &requestId, bool isHead = false)
    {
        m_result.reset();
        Front::replica_exchange exchange;
        exchange.ticket = ++m_ticket;
        exchange.requestId = requestId;
        exchange.isHead = isHead;
        exchange.makeText = [this](Core::time_point) {
            return m_isWithdrawn ? std::nullopt : std::optional<std::string>("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
        };
        exchange.onComplete = [this](Front::exchange_result result) {
            m_result = std::move(result);
        };
        m_connection->send(std::move(exchange), std::chrono::steady_clock::now());
    }

    /// Sends one request to a scripted server and returns the result of the exchange.
    Front::exchange_result exchangeWith(raw_server &server, bool isHead = false)
    {
        connectTo(server);
        send("one", isHead);
        EXPECT_TRUE(runUntil([this]() { return m_result.has_value(); }));
        return m_result ? std::move(*m_result) : Front::exchange_result {};
    }

    /// Expects that a response which begins with `start` and goes on without end fails, and soon.
    void expectFailureAfterBytesWithoutEnd(const std::string &start)
    {
        std::thread sender;
        std::size_t sent = 0;
        raw_server server(m_loop, [&](raw_connection &peer) {
            peer.send(start);
            sender = std::thread([&, socket = peer.socket.native_handle()]() { sent = sendWithoutEnd(socket); });
        });
        EXPECT_EQ(exchangeWith(server).failure, Forward::attempt_failure::ConnectionLost) << start;
        EXPECT_FALSE(m_connection->isOpen()) << start;
        m_connection->close();
        runFor(10ms); // The sender notices the close.
        sender.join();
        constexpr std::size_t bufferedBytes = 8'000'000; // In the sockets' buffers.
        EXPECT_LT(sent, bufferedBytes) << start;
    }

    std::shared_ptr<Front::replica_connection> m_connection;
    std::optional<Front::exchange_result> m_result;
    std::uint64_t m_ticket = 0;
    int m_changes = 0;
    bool m_isWithdrawn = false; ///< Requests are withdrawn when they could be sent.
};
} // namespace

TEST_F(replica_connection_test, StaysUsableAfterCompleteResponse)
{
    raw_server server(m_loop, [](raw_connection &peer) { peer.send(completeResponse); });
    const Front::exchange_result result = exchangeWith(server);
    ASSERT_TRUE(result.reply);
    EXPECT_EQ(result.reply->body(), "body");
    EXPECT_TRUE(m_connection->isUsable(true, std::chrono::steady_clock::now()));
    EXPECT_FALSE(m_connection->isUsable(true, std::chrono::steady_clock::now() + 1s));
}

TEST_F(replica_connection_test, LimitsReuseByKeepAliveTimeout)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2, max=9\r\nContent-Length: 0\r\n\r\n");
    });
    exchangeWith(server);
    const Core::time_point now = std::chrono::steady_clock::now();
    EXPECT_TRUE(m_connection->isUsable(false, now + 900ms));
    EXPECT_FALSE(m_connection->isUsable(false, now + 1900ms));
}

TEST_F(replica_connection_test, ClosesWhenResponseAsksForIt)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    });
    EXPECT_TRUE(exchangeWith(server).reply);
    EXPECT_FALSE(m_connection->isOpen());
}

TEST_F(replica_connection_test, ReassemblesChunkedResponse)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n");
    });
    const Front::exchange_result result = exchangeWith(server);
    ASSERT_TRUE(result.reply);
    EXPECT_EQ(result.reply->body(), "abcd");
}

TEST_F(replica_connection_test, CompletesResponseWithoutLengthAtEndOfStream)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\n\r\nabcd");
        peer.finish();
    });
    const Front::exchange_result result = exchangeWith(server);
    ASSERT_TRUE(result.reply);
    EXPECT_EQ(result.reply->body(), "abcd");
    EXPECT_FALSE(m_connection->isOpen());
}

TEST_F(replica_connection_test, FailsWhenResponseWithoutLengthIsReset)
{
    raw_server server(m_loop, [this](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\n\r\nabcd");
        m_timers.schedule(std::chrono::steady_clock::now() + 50ms, [&peer](Core::time_point) { peer.reset(); });
    });
    const Front::exchange_result result = exchangeWith(server);
    EXPECT_FALSE(result.reply);
    EXPECT_EQ(result.failure, Forward::attempt_failure::ConnectionLost);
}

TEST_F(replica_connection_test, FailsWhenResponseIsTruncated)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabcd");
        peer.finish();
    });
    EXPECT_FALSE(exchangeWith(server).reply);
}

TEST_F(replica_connection_test, FailsAndClosesOnMalformedResponse)
{
    raw_server server(m_loop, [](raw_connection &peer) { peer.send("\x01\x02 rubbish\r\n\r\n"); });
    EXPECT_FALSE(exchangeWith(server).reply);
    EXPECT_FALSE(m_connection->isOpen());
}

/// A late second response to an earlier request arrives before the expected one and is recognized by its request id.
TEST_F(replica_connection_test, SkipsResponseToEarlierRequestAndCloses)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\nRequest-Id: zero\r\nContent-Length: 5\r\n\r\nwrong");
        peer.send(completeResponse);
    });
    const Front::exchange_result result = exchangeWith(server);
    ASSERT_TRUE(result.reply);
    EXPECT_EQ(result.reply->body(), "body");
    EXPECT_FALSE(m_connection->isOpen());
}

TEST_F(replica_connection_test, ClosesIdleConnectionOnUnrequestedResponse)
{
    raw_server server(m_loop, [this](raw_connection &peer) {
        peer.send(completeResponse);
        m_timers.schedule(std::chrono::steady_clock::now() + 30ms,
                          [&peer](Core::time_point) { peer.send(completeResponse); });
    });
    EXPECT_TRUE(exchangeWith(server).reply);
    EXPECT_TRUE(runUntil([this]() { return !m_connection->isOpen(); }));
}

TEST_F(replica_connection_test, ClosesWhenExtraBytesFollowResponse)
{
    raw_server server(m_loop, [](raw_connection &peer) { peer.send(std::string(completeResponse) + "HTTP/1.1 200"); });
    EXPECT_TRUE(exchangeWith(server).reply);
    EXPECT_FALSE(m_connection->isOpen());
}

TEST_F(replica_connection_test, SkipsInterimResponses)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        peer.send(std::string("HTTP/1.1 100 Continue\r\n\r\n") + completeResponse);
    });
    const Front::exchange_result result = exchangeWith(server);
    ASSERT_TRUE(result.reply);
    EXPECT_EQ(result.reply->result_int(), 200U);
}

/// The replica sends a second copy of its first answer when the connection carries the next request. Without an id
/// nothing tells the copy from the answer.
TEST_F(replica_connection_test, FailsWhenReusedConnectionDeliversResponseWithoutId)
{
    raw_server server(m_loop,
                      [](raw_connection &peer) { peer.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"); });
    EXPECT_TRUE(exchangeWith(server).reply) << "nothing else can be the first response of a connection";
    send("two");
    ASSERT_TRUE(runUntil([this]() { return m_result.has_value(); }));
    EXPECT_FALSE(m_result->reply);
    EXPECT_EQ(m_result->failure, Forward::attempt_failure::ConnectionLost);
    EXPECT_FALSE(m_connection->isOpen());
}

TEST_F(replica_connection_test, FailsAndClosesOnHeaderWithoutEnd)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\n");
        sendRepeatedly(peer, "X-Field: " + std::string(1000, 'x') + "\r\n", 100);
    });
    EXPECT_EQ(exchangeWith(server).failure, Forward::attempt_failure::ConnectionLost);
    EXPECT_FALSE(m_connection->isOpen());
}

TEST_F(replica_connection_test, FailsAndClosesOnBodyWithoutEnd)
{
    std::thread sender;
    raw_server server(m_loop, [&](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\n\r\n");
        sender = std::thread([socket = peer.socket.native_handle()]() { sendWithoutEnd(socket); });
    });
    EXPECT_EQ(exchangeWith(server).failure, Forward::attempt_failure::ConnectionLost);
    EXPECT_FALSE(m_connection->isOpen());
    m_connection->close();
    runFor(10ms); // The sender notices the close.
    sender.join();
}

/// Bytes without end at places where the parser waits for the end of a line. They were all kept until the memory was
/// used up.
TEST_F(replica_connection_test, FailsAndClosesOnLinesWithoutEnd)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string start : {"", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX-Field: "}) {
        expectFailureAfterBytesWithoutEnd(start);
    }
    for (const std::string start : {"4;extension=", "4\r\nbody\r\n0;", "0\r\nTrailer: "}) {
        expectFailureAfterBytesWithoutEnd(chunked + start);
    }
}

TEST_F(replica_connection_test, FailsAndClosesOnInterimResponsesWithoutEnd)
{
    raw_server server(m_loop,
                      [](raw_connection &peer) { sendRepeatedly(peer, "HTTP/1.1 103 Early Hints\r\n\r\n", 1000); });
    EXPECT_EQ(exchangeWith(server).failure, Forward::attempt_failure::ConnectionLost);
    EXPECT_FALSE(m_connection->isOpen());
}

TEST_F(replica_connection_test, FailsAndClosesOnLateResponsesWithoutEnd)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        sendRepeatedly(peer, "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nContent-Length: 0\r\n\r\n", 1000);
    });
    EXPECT_EQ(exchangeWith(server).failure, Forward::attempt_failure::ConnectionLost);
    EXPECT_FALSE(m_connection->isOpen());
}

TEST_F(replica_connection_test, CompletesResponseToHeadWithoutBody)
{
    raw_server server(m_loop,
                      [](raw_connection &peer) { peer.send("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n"); });
    const Front::exchange_result result = exchangeWith(server, true);
    ASSERT_TRUE(result.reply);
    EXPECT_TRUE(m_connection->isOpen());
}

TEST_F(replica_connection_test, ReportsNotSentWhenConnectionIsRefused)
{
    boost::asio::ip::tcp::endpoint closedEndpoint;
    {
        raw_server server(m_loop, [](raw_connection &) {});
        closedEndpoint = server.address();
    }
    m_connection = std::make_shared<Front::replica_connection>(m_loop, m_timers, "Request-Id", []() {});
    m_connection->connect(closedEndpoint);
    send("one");
    ASSERT_TRUE(runUntil([this]() { return m_result.has_value(); }));
    EXPECT_EQ(m_result->failure, Forward::attempt_failure::NotSent);
}

/// The deadline passes while the connection opens. Nothing is sent, and the connection serves the next request.
TEST_F(replica_connection_test, SendsNothingWhenRequestIsWithdrawnBeforeConnectionOpens)
{
    std::string received;
    raw_server server(m_loop, [&](raw_connection &peer) {
        received += peer.received;
        peer.send(completeResponse);
    });
    m_isWithdrawn = true;
    EXPECT_EQ(exchangeWith(server).failure, Forward::attempt_failure::Withdrawn);
    EXPECT_EQ(received, "");
    ASSERT_TRUE(m_connection->isUsable(true, std::chrono::steady_clock::now()));
    m_isWithdrawn = false;
    send("one");
    ASSERT_TRUE(runUntil([this]() { return m_result.has_value(); }));
    EXPECT_TRUE(m_result->reply);
}

/// The request was sent before the connection closed, so the replica may have executed it.
TEST_F(replica_connection_test, ReportsBrokenWhenConnectionClosesAfterRequest)
{
    raw_server server(m_loop, [](raw_connection &peer) { peer.finish(); });
    EXPECT_EQ(exchangeWith(server).failure, Forward::attempt_failure::ConnectionLost);
}
