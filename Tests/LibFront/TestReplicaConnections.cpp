#include "Support/LoopFixture.h"
#include "Support/RawServer.h"

#include "LibFront/ReplicaConnection.h"
#include "LibFront/ReplicaConnections.h"

#include <algorithm>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace
{
class replica_connections_test : public loop_fixture
{
protected:
    /// Submits a request that must not be sent any more.
    void submitWithdrawn(const raw_server &server)
    {
        Front::replica_exchange exchange;
        exchange.requestId = "withdrawn-" + std::to_string(m_withdrawn++);
        exchange.makeText = [](Core::time_point) {
            return std::optional<std::string>();
        };
        exchange.onComplete = [this](const Front::exchange_result &result) {
            EXPECT_FALSE(m_isSubmitting);
            EXPECT_EQ(result.failure, Forward::attempt_failure::Withdrawn);
            ++m_completed;
        };
        m_isSubmitting = true;
        m_connections.submit({0, 0}, "127.0.0.1:" + std::to_string(server.address().port()), 1, std::move(exchange));
        m_isSubmitting = false;
    }

    void submit(const raw_server &server, const std::string &requestId)
    {
        Front::replica_exchange exchange;
        exchange.requestId = requestId;
        exchange.makeText = [requestId](Core::time_point) -> std::optional<std::string> {
            return "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + requestId + "\r\n\r\n";
        };
        exchange.onComplete = [this](const Front::exchange_result &result) {
            ++m_completed;
            m_statuses.push_back(result.reply ? result.reply->result_int() : 0);
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
    int m_withdrawn = 0;
    bool m_isSubmitting = false;
    std::vector<unsigned> m_statuses; ///< Of the responses, in the order in which they came; 0: none came.
};

/// Returns a response to the latest request on the connection, with its id.
std::string responseTo(const raw_connection &peer, const std::string &statusLine)
{
    const std::string field = "Request-Id: ";
    const std::size_t begin = peer.received.rfind(field) + field.size();
    const std::string id = peer.received.substr(begin, peer.received.find('\r', begin) - begin);
    return "HTTP/1.1 " + statusLine + "\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
}

std::size_t requestsOn(const raw_connection &peer)
{
    std::size_t count = 0;
    for (std::size_t at = peer.received.find("GET "); at != std::string::npos;
         at = peer.received.find("GET ", at + 1)) {
        ++count;
    }
    return count;
}
} // namespace

/// The daemon is no longer active. Another one needs the places of its connections.
TEST_F(replica_connections_test, ClosesIdleConnectionsBeyondTheGivenNumber)
{
    raw_server server(m_loop, [](raw_connection &peer) { peer.send(responseTo(peer, "200 OK")); });
    for (int request = 0; request < 3; ++request) {
        submit(server, "request-" + std::to_string(request));
    }
    ASSERT_TRUE(runUntil([&]() { return m_completed == 3 && openOn(server) == 3; }));
    m_connections.closeIdleBeyond(1);
    EXPECT_TRUE(runUntil([&]() { return openOn(server) == 1; }));
    submit(server, "another");
    EXPECT_TRUE(runUntil([&]() { return m_completed == 4; }));
    EXPECT_EQ(m_connections.openedCount(), 3U);
}

TEST_F(replica_connections_test, KeepsBusyConnectionsBeyondTheGivenNumber)
{
    raw_server server(m_loop, [](raw_connection &) {});
    submit(server, "one");
    submit(server, "two");
    ASSERT_TRUE(runUntil([&]() { return openOn(server) == 2; }));
    m_connections.closeIdleBeyond(0);
    runFor(50ms);
    EXPECT_EQ(openOn(server), 2U);
}

/// A replica refuses a request, later runs its second attempt, and sends a late copy of the refusal first. The copy has
/// the same id, so that the request was reported as not executed, and was sent and executed once more.
TEST_F(replica_connections_test, LateCopyOfRefusalIsNotTakenForTheResponseToTheNextAttempt)
{
    int requests = 0;
    raw_server server(m_loop, [&](raw_connection &peer) {
        const bool isFirst = ++requests == 1;
        if (requestsOn(peer) > 1) {
            peer.send(responseTo(peer, "503 Service Unavailable"));
        }
        peer.send(responseTo(peer, isFirst ? "503 Service Unavailable" : "200 OK"));
    });
    submit(server, "one");
    ASSERT_TRUE(runUntil([&]() { return m_completed == 1; }));
    submit(server, "one");
    ASSERT_TRUE(runUntil([&]() { return m_completed == 2; }));
    EXPECT_EQ(m_statuses, (std::vector<unsigned> {503, 200}));
}

/// A caller repeats a request under its own id, for another resource. A late copy of the first response must not reach
/// it, although other requests were sent on the connection in between.
TEST_F(replica_connections_test, LateCopyOfSuccessIsNotTakenForTheResponseToALaterRequestWithItsId)
{
    raw_server server(m_loop, [&](raw_connection &peer) {
        if (requestsOn(peer) > 2) {
            peer.send(responseTo(peer, "200 OK"));
        }
        peer.send(responseTo(peer, requestsOn(peer) > 2 || server.connections.size() > 1 ? "201 Created" : "200 OK"));
    });
    for (const std::string id : {"one", "two", "one"}) {
        submit(server, id);
        ASSERT_TRUE(runUntil([&, count = m_completed]() { return m_completed > count; }));
    }
    EXPECT_EQ(m_statuses, (std::vector<unsigned> {200, 200, 201}));
}

/// All idle connections have carried the request: one is replaced, so that the limit of three is kept. Other requests
/// still use them.
TEST_F(replica_connections_test, OpensAConnectionForEachAttemptOfARequestWithinTheLimit)
{
    raw_server server(m_loop, [](raw_connection &peer) { peer.send(responseTo(peer, "200 OK")); });
    for (int attempt = 1; attempt <= 4; ++attempt) {
        submit(server, "one");
        ASSERT_TRUE(runUntil([&]() { return m_completed == attempt; }));
    }
    EXPECT_EQ(m_connections.openedCount(), 4U);
    EXPECT_TRUE(runUntil([&]() { return openOn(server) <= 3; }));
    submit(server, "two");
    ASSERT_TRUE(runUntil([&]() { return m_completed == 5; }));
    EXPECT_EQ(m_connections.openedCount(), 4U);
}

/// The deadline has passed when an idle connection could carry the request. The result came before the ticket, and the
/// request's task wrote the ticket into an entry that it had erased on the result.
TEST_F(replica_connections_test, WithdrawnRequestEndsAfterItsSubmission)
{
    raw_server server(m_loop, [](raw_connection &peer) { peer.send(responseTo(peer, "200 OK")); });
    submit(server, "one");
    ASSERT_TRUE(runUntil([&]() { return m_completed == 1; }));
    submitWithdrawn(server);
    EXPECT_EQ(m_completed, 1);
    EXPECT_TRUE(runUntil([&]() { return m_completed == 2; }));
    submit(server, "two");
    EXPECT_TRUE(runUntil([&]() { return m_completed == 3; }));
    EXPECT_EQ(m_connections.openedCount(), 1U);
}

/// Many requests wait for a replica that pauses, and all are withdrawn when it answers. Each withdrawal ran within the
/// one before, until the stack was used up.
TEST_F(replica_connections_test, WithdrawsManyWaitingRequests)
{
    constexpr int count = 50'000;
    raw_server server(m_loop, [](raw_connection &) {});
    submit(server, "one");
    ASSERT_TRUE(runUntil([&]() { return openOn(server) == 1; }));
    for (int request = 0; request < count; ++request) {
        submitWithdrawn(server);
    }
    server.connections.front()->send("HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(runUntil([&]() { return m_completed == count + 1; }));
}

/// Several replicas send bytes without end at once. Each response is limited, but their sum used up the memory.
TEST_F(replica_connections_test, DropsTheLargestResponsesWhenAllTogetherAreTooLarge)
{
    constexpr std::size_t limit = 1'000'000;
    m_connections.setResponseMemory(limit);
    const std::string bytes(100'000, 'x');
    raw_server server(m_loop, [&](raw_connection &peer) {
        if (peer.received.find("Request-Id: sound") != std::string::npos) {
            peer.send(responseTo(peer, "200 OK"));
            return;
        }
        peer.send("HTTP/1.1 200 OK\r\nRequest-Id: endless\r\nContent-Length: 16000000\r\n\r\n" + bytes);
    });
    submit(server, "endless-1");
    submit(server, "endless-2");
    ASSERT_TRUE(runUntil([&]() { return openOn(server) == 2; }));
    const auto first = server.connections.front();
    for (int count = 0; count < 10 && !first->ended; ++count) {
        first->send(bytes);
        runFor(20ms);
    }
    ASSERT_TRUE(runUntil([&]() { return m_completed == 1; }));
    EXPECT_EQ(m_connections.droppedResponseCount(), 1U);
    EXPECT_EQ(openOn(server), 1U) << "the smaller response must not be dropped";
    submit(server, "sound");
    ASSERT_TRUE(runUntil([&]() { return m_completed == 2; }));
    EXPECT_EQ(m_statuses, (std::vector<unsigned> {0, 200}));
}
