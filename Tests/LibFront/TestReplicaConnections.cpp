#include "Support/LoopFixture.h"
#include "Support/RawServer.h"

#include "LibFront/ReplicaConnection.h"
#include "LibFront/ReplicaConnections.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace
{
class replica_connections_test : public loop_fixture
{
protected:
    void submit(const raw_server &server)
    {
        Front::replica_exchange exchange;
        exchange.requestId = "one";
        exchange.makeText = [](Core::time_point) -> std::optional<std::string> {
            return "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
        };
        exchange.onComplete = [this](const Front::exchange_result &) {
            ++m_completed;
        };
        const std::string address = "127.0.0.1:" + std::to_string(server.address().port());
        m_connections.submit({0, 0}, address, 3, std::move(exchange));
    }

    static std::size_t openOn(const raw_server &server)
    {
        return static_cast<std::size_t>(std::count_if(server.connections.begin(), server.connections.end(),
                                                      [](const auto &connection) { return !connection->ended; }));
    }

    Front::replica_connections m_connections {m_loop, m_timers, "Request-Id"};
    int m_completed = 0;
};
} // namespace

/// The daemon is no longer active. Another one needs the places of its connections.
TEST_F(replica_connections_test, ClosesIdleConnectionsBeyondTheGivenNumber)
{
    raw_server server(m_loop, [](raw_connection &peer) {
        peer.send("HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 0\r\n\r\n");
    });
    for (int request = 0; request < 3; ++request) {
        submit(server);
    }
    ASSERT_TRUE(runUntil([&]() { return m_completed == 3 && openOn(server) == 3; }));
    m_connections.closeIdleBeyond(1);
    EXPECT_TRUE(runUntil([&]() { return openOn(server) == 1; }));
    submit(server);
    EXPECT_TRUE(runUntil([&]() { return m_completed == 4; }));
    EXPECT_EQ(m_connections.openedCount(), 3U);
}

TEST_F(replica_connections_test, KeepsBusyConnectionsBeyondTheGivenNumber)
{
    raw_server server(m_loop, [](raw_connection &) {});
    submit(server);
    submit(server);
    ASSERT_TRUE(runUntil([&]() { return openOn(server) == 2; }));
    m_connections.closeIdleBeyond(0);
    runFor(50ms);
    EXPECT_EQ(openOn(server), 2U);
}
