#include "DaemonFixture.h"

#include <cstdlib>

using namespace std::chrono_literals;

namespace
{
/// Replicas whose answers carry further header fields.
class replica_notices_test : public daemon_test
{
protected:
    /// Counts the requests to a replica and answers each of them with the given status line and fields.
    raw_server::script counting(int &arrivals, const std::string &statusAndFields)
    {
        return [&arrivals, &statusAndFields](raw_connection &peer) {
            if (peer.received.find("\r\n\r\n") != std::string::npos) {
                ++arrivals;
                peer.received.clear();
                peer.send("HTTP/1.1 " + statusAndFields + "Request-Id: id-1\r\nContent-Length: 0\r\n\r\n");
            }
        };
    }

    void putReplica(const std::string &id, const raw_server &server, const std::string &state, int startedAt)
    {
        m_store.putText("servers", id,
                        R"({"backend": "a", "address": "127.0.0.1:)" + std::to_string(server.address().port())
                            + R"(", "zone": "z1", "version": "v1", "max-concurrency": 2, "state": ")" + state
                            + R"(", "warmup-left-ms": 0, "sequence": 1, "born": )" + std::to_string(startedAt) + "}");
    }

    bool isServed(const std::string &target)
    {
        return sendRequest(m_front, "GET " + target).starts_with("HTTP/1.1 200");
    }

    /// Returns the seconds of the answer's Retry-After; negative if it has none.
    static double retryAfterOf(const std::string &answer)
    {
        const std::string name = "\r\nRetry-After: ";
        const std::size_t place = answer.find(name);
        return place == std::string::npos ? -1.0 : std::strtod(answer.c_str() + place + name.size(), nullptr);
    }

    std::string m_good = "200 OK\r\nServer-Stamp: digest\r\n";
};
} // namespace

/// Guards against requests to a replica whose answers say that it shuts down while its registration still says ready.
TEST_F(replica_notices_test, SendsNothingMoreToReplicaWhoseAnswersSayThatItShutsDown)
{
    int toFirst = 0;
    int toSecond = 0;
    std::string firstReply = m_good + "Server-Leaving: 1\r\n";
    raw_server first(m_loop, counting(toFirst, firstReply));
    raw_server second(m_loop, counting(toSecond, m_good));
    m_store.putText("config", "main", sampleConfiguration);
    putReplica("i-first", first, "ready", 1);
    startDaemon();
    ASSERT_TRUE(becomesReady());
    EXPECT_TRUE(isServed("/s/1"));
    const auto refusedAt = std::chrono::steady_clock::now();
    EXPECT_TRUE(sendRequest(m_front, "GET /s/1").starts_with("HTTP/1.1 503"));
    EXPECT_LT(std::chrono::steady_clock::now() - refusedAt, 500ms) << "a request that cannot be served waits";
    EXPECT_EQ(toFirst, 1);

    putReplica("i-second", second, "ready", 1);
    putReplica("i-first", first, "ready", 1); // Registers again with the same start.
    ASSERT_TRUE(runUntil([&]() { return isServed("/s/1"); }));
    for (int request = 0; request < 10; ++request) {
        EXPECT_TRUE(isServed("/s/1"));
        EXPECT_TRUE(isServed("/g/1"));
    }
    EXPECT_EQ(toFirst, 1);
    EXPECT_NE(sendRequest(m_control, "GET /metrics").find("ragwortcrank_replicas_shutting_down 1"), std::string::npos);

    firstReply = m_good;
    putReplica("i-first", first, "ready", 2);
    putReplica("i-second", second, "draining", 1);
    EXPECT_TRUE(runUntil([&]() { return isServed("/s/1") && toFirst > 1; })) << "a new start is used again";
}

/// Guards against requests to a replica that has refused one and stated for how long it wants no other.
TEST_F(replica_notices_test, SendsNothingToReplicaForTheTimeThatItsRefusalStates)
{
    constexpr double quietSeconds = 1.5;
    int arrivals = 0;
    std::string reply = "503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 1.5\r\n";
    raw_server only(m_loop, counting(arrivals, reply));
    m_store.putText("config", "main", sampleConfiguration);
    putReplica("i-only", only, "ready", 1);
    startDaemon();
    ASSERT_TRUE(becomesReady());
    const auto statedAt = std::chrono::steady_clock::now();
    std::string last = sendRequest(m_front, "GET /s/1");
    reply = m_good;
    EXPECT_EQ(arrivals, 1);
    while (std::chrono::steady_clock::now() - statedAt < 1300ms) {
        const auto sentAt = std::chrono::steady_clock::now();
        last = sendRequest(m_front, arrivals % 2 == 0 ? "GET /s/1" : "GET /g/1");
        const double left = quietSeconds - Core::toSeconds(std::chrono::steady_clock::now() - statedAt);
        EXPECT_LT(std::chrono::steady_clock::now() - sentAt, 500ms) << "a request that cannot be served waits";
        EXPECT_TRUE(last.starts_with("HTTP/1.1 503")) << last;
        EXPECT_GE(retryAfterOf(last), left - 0.05) << "the caller returns before the replica does";
        EXPECT_LE(retryAfterOf(last), quietSeconds + 1.0);
    }
    EXPECT_EQ(arrivals, 1);
    EXPECT_TRUE(runUntil([&]() { return isServed("/s/1"); })) << "the replica is used again after the time";
}

/// Guards against a replica that is lost since it stated no time, or none that can be read.
TEST_F(replica_notices_test, IgnoresRetryAfterThatCannotBeRead)
{
    int arrivals = 0;
    std::string reply;
    raw_server only(m_loop, counting(arrivals, reply));
    m_store.putText("config", "main", sampleConfiguration);
    putReplica("i-only", only, "ready", 1);
    startDaemon();
    ASSERT_TRUE(becomesReady());
    for (const char *stated : {"0", "-5", "nan", "inf", "soon", "", "Sat, 05 Dec 2026 08:00:00 GMT", "1e9"}) {
        reply = std::string("503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: ") + stated + "\r\n";
        EXPECT_FALSE(isServed("/s/1")) << stated;
        reply = m_good;
        EXPECT_TRUE(runUntil([&]() { return isServed("/s/1"); })) << stated;
    }
}
