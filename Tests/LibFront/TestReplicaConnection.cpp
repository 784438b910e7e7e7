#include "Support/LoopFixture.h"
#include "Support/RawServer.h"

#include "LibFront/ReplicaConnection.h"

#include <optional>

using namespace std::chrono_literals;

namespace
{
constexpr const char *wholeAnswer = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 4\r\n\r\nbody";

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
        m_end.reset();
        Front::replica_exchange exchange;
        exchange.ticket = ++m_ticket;
        exchange.requestId = requestId;
        exchange.isHead = isHead;
        exchange.makeText = [](Core::time_point) {
            return std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
        };
        exchange.onEnd = [this](Front::exchange_end end) {
            m_end = std::move(end);
        };
        m_connection->send(std::move(exchange), std::chrono::steady_clock::now());
    }

    /// Sends one request to a scripted server and returns the result of the exchange.
    Front::exchange_end exchangeWith(raw_server &server, bool isHead = false)
    {
        connectTo(server);
        send("one", isHead);
        EXPECT_TRUE(runUntil([this]() { return m_end.has_value(); }));
        return m_end ? std::move(*m_end) : Front::exchange_end {};
    }

    std::shared_ptr<Front::replica_connection> m_connection;
    std::optional<Front::exchange_end> m_end;
    std::uint64_t m_ticket = 0;
    int m_changes = 0;
};
} // namespace

TEST_F(replica_connection_test, IsKeptAfterAWholeAnswer)
{
    raw_server server(m_loop, [](raw_connection &peer) { peer.send(wholeAnswer); });
    const Front::exchange_end end = exchangeWith(server);
    ASSERT_TRUE(end.reply);
    EXPECT_EQ(end.reply->body(), "body");
    EXPECT_TRUE(m_connection->isUsable(true, std::chrono::steady_clock::now()));
    EXPECT_FALSE(m_connection->isUsable(true, std::chrono::steady_clock::now() + 1s));
}

TEST_F(replica_connection_test, KeepAliveTimeBoundsItsUse)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2, max=9\r\nContent-Length: 0\r\n\r\n");
    });
    exchangeWith(server);
    const Core::time_point now = std::chrono::steady_clock::now();
    EXPECT_TRUE(m_connection->isUsable(false, now + 900ms));
    EXPECT_FALSE(m_connection->isUsable(false, now + 1900ms));
}

TEST_F(replica_connection_test, CloseInTheAnswerEndsIt)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    });
    EXPECT_TRUE(exchangeWith(server).reply);
    EXPECT_FALSE(m_connection->isOpen());
}

TEST_F(replica_connection_test, ChunkedAnswerIsWhole)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n");
    });
    const Front::exchange_end end = exchangeWith(server);
    ASSERT_TRUE(end.reply);
    EXPECT_EQ(end.reply->body(), "abcd");
}

TEST_F(replica_connection_test, AnswerWithoutLengthEndsWithTheConnection)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\n\r\nabcd");
        peer.finish();
    });
    const Front::exchange_end end = exchangeWith(server);
    ASSERT_TRUE(end.reply);
    EXPECT_EQ(end.reply->body(), "abcd");
    EXPECT_FALSE(m_connection->isOpen());
}

TEST_F(replica_connection_test, AnswerWithoutLengthThatIsResetIsNotWhole)
{
    raw_server server(m_loop, [this](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\n\r\nabcd");
        m_timers.schedule(std::chrono::steady_clock::now() + 50ms, [&peer](Core::time_point) { peer.reset(); });
    });
    const Front::exchange_end end = exchangeWith(server);
    EXPECT_FALSE(end.reply);
    EXPECT_EQ(end.failure, Forward::attempt_failure::Broken);
}

TEST_F(replica_connection_test, TruncatedAnswerIsNotWhole)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabcd");
        peer.finish();
    });
    EXPECT_FALSE(exchangeWith(server).reply);
}

TEST_F(replica_connection_test, BytesThatAreNoAnswerAreAFailure)
{
    raw_server server(m_loop, [](raw_connection &peer) { peer.send("\x01\x02 rubbish\r\n\r\n"); });
    EXPECT_FALSE(exchangeWith(server).reply);
    EXPECT_FALSE(m_connection->isOpen());
}

/// A late second response to an earlier request arrives before the expected one and is recognized by its request id.
TEST_F(replica_connection_test, AnswerToAnotherRequestIsSkipped)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\nRequest-Id: zero\r\nContent-Length: 5\r\n\r\nwrong");
        peer.send(wholeAnswer);
    });
    const Front::exchange_end end = exchangeWith(server);
    ASSERT_TRUE(end.reply);
    EXPECT_EQ(end.reply->body(), "body");
    EXPECT_FALSE(m_connection->isOpen());
}

TEST_F(replica_connection_test, ExtraAnswerEndsAnIdleConnection)
{
    raw_server server(m_loop, [this](raw_connection &peer) {
        peer.send(wholeAnswer);
        m_timers.schedule(std::chrono::steady_clock::now() + 30ms,
                          [&peer](Core::time_point) { peer.send(wholeAnswer); });
    });
    EXPECT_TRUE(exchangeWith(server).reply);
    EXPECT_TRUE(runUntil([this]() { return !m_connection->isOpen(); }));
}

TEST_F(replica_connection_test, BytesBehindAnAnswerEndTheConnection)
{
    raw_server server(m_loop, [](raw_connection &peer) { peer.send(std::string(wholeAnswer) + "HTTP/1.1 200"); });
    EXPECT_TRUE(exchangeWith(server).reply);
    EXPECT_FALSE(m_connection->isOpen());
}

TEST_F(replica_connection_test, InterimAnswersAreSkipped)
{
    raw_server server(
        m_loop, [](raw_connection &peer) { peer.send(std::string("HTTP/1.1 100 Continue\r\n\r\n") + wholeAnswer); });
    const Front::exchange_end end = exchangeWith(server);
    ASSERT_TRUE(end.reply);
    EXPECT_EQ(end.reply->result_int(), 200U);
}

TEST_F(replica_connection_test, AnswerToHeadHasNoBody)
{
    raw_server server(m_loop,
                      [](raw_connection &peer) { peer.send("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n"); });
    const Front::exchange_end end = exchangeWith(server, true);
    ASSERT_TRUE(end.reply);
    EXPECT_TRUE(m_connection->isOpen());
}

TEST_F(replica_connection_test, RefusedConnectionSentNothing)
{
    boost::asio::ip::tcp::endpoint nobody;
    {
        raw_server server(m_loop, [](raw_connection &) {});
        nobody = server.address();
    }
    m_connection = std::make_shared<Front::replica_connection>(m_loop, m_timers, "Request-Id", []() {});
    m_connection->connect(nobody);
    send("one");
    ASSERT_TRUE(runUntil([this]() { return m_end.has_value(); }));
    EXPECT_EQ(m_end->failure, Forward::attempt_failure::NotSent);
}

/// The request was sent before the connection closed, so the replica may have executed it.
TEST_F(replica_connection_test, EndAfterTheRequestMayHaveRun)
{
    raw_server server(m_loop, [](raw_connection &peer) { peer.finish(); });
    EXPECT_EQ(exchangeWith(server).failure, Forward::attempt_failure::Broken);
}
