#include "DaemonFixture.h"

#include <algorithm>
#include <map>

using namespace std::chrono_literals;

TEST_F(daemon_test, ServesRoutesAndReplicasOfStore)
{
    raw_server first(m_loop, answering("digest-a", record('b') + record('d')));
    raw_server second(m_loop, answering("digest-b", record('c') + "rest"));
    m_store.putText("config", "main", sampleConfiguration);
    addReplica("i-a", "a", first);
    addReplica("i-b", "b", second);
    startDaemon();
    ASSERT_TRUE(becomesReady());

    const std::string gathered = sendRequest(m_front, "GET /g/1");
    EXPECT_TRUE(gathered.starts_with("HTTP/1.1 200")) << gathered;
    EXPECT_NE(gathered.find("Shard-Stamps: digest-a, digest-b"), std::string::npos) << gathered;
    EXPECT_NE(gathered.find("Missing-Shards: 0"), std::string::npos);
    EXPECT_TRUE(gathered.ends_with(record('d') + record('c')));

    const std::string passed = sendRequest(m_front, "GET /s/1");
    EXPECT_NE(passed.find("Server-Stamp: digest-a"), std::string::npos) << passed;
    EXPECT_TRUE(passed.ends_with(record('b') + record('d')));
    EXPECT_TRUE(sendRequest(m_front, "GET /other/").starts_with("HTTP/1.1 404"));

    const std::string named = sendRequest(m_directory, "GET /api/resolve?name=h.example&region=r1&zone=z1");
    EXPECT_NE(named.find(R"({"addrs":["127.0.0.1:)" + std::to_string(m_front) + R"("],"ttl_s":1})"), std::string::npos)
        << named;
    const std::string metrics = sendRequest(m_control, "GET /metrics");
    EXPECT_NE(metrics.find("ragwortcrank_answered_total 2"), std::string::npos);
    EXPECT_NE(metrics.find("ragwortcrank_request_seconds_count{route=\"g\"} 1"), std::string::npos) << metrics;
    EXPECT_NE(metrics.find("ragwortcrank_attempt_seconds_bucket{route=\"g\",le=\"+Inf\"} 2"), std::string::npos);
}

/// A shard has no replica: the query is answered all the same, since the route requires a coverage of one half only.
TEST_F(daemon_test, ReportsMissingShardWhenItHasNoReplica)
{
    raw_server first(m_loop, answering("digest-a", record('b')));
    m_store.putText("config", "main", sampleConfiguration);
    addReplica("i-a", "a", first);
    startDaemon();
    ASSERT_TRUE(becomesReady());
    const std::string gathered = sendRequest(m_front, "GET /g/1");
    EXPECT_TRUE(gathered.starts_with("HTTP/1.1 200")) << gathered;
    EXPECT_NE(gathered.find("Missing-Shards: 1"), std::string::npos);
}

TEST_F(daemon_test, RefusesRequestsWithoutConfiguration)
{
    m_store.injectFault(store_fault::Refusing);
    startDaemon();
    std::string answer;
    ASSERT_TRUE(runUntil([&]() {
        answer = sendRequest(m_front, "GET /g/1");
        return !answer.empty();
    }));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
    EXPECT_TRUE(sendRequest(m_ready, "GET /api/ready").starts_with("HTTP/1.1 503"));
    EXPECT_TRUE(sendRequest(m_directory, "GET /api/resolve?zone=z1").starts_with("HTTP/1.1 503"));
}

/// Guards against a daemon that ignores the request rate that a replica states, and against one that never uses the
/// replica again once the limit has ended.
TEST_F(daemon_test, KeepsToTheRequestLimitThatAReplicaStates)
{
    constexpr double perSecond = 2.0;
    double arrivals = 0;
    std::string limit = "Server-Limit: 2.0\r\n";
    raw_server only(m_loop, [&](raw_connection &peer) {
        if (peer.received.find("\r\n\r\n") != std::string::npos) {
            ++arrivals;
            peer.received.clear();
            peer.send("HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Stamp: digest\r\n" + limit
                      + "Content-Length: 0\r\n\r\n");
        }
    });
    m_store.putText("config", "main", sampleConfiguration);
    addReplica("i-a", "a", only);
    startDaemon();
    ASSERT_TRUE(becomesReady());
    ASSERT_TRUE(sendRequest(m_front, "GET /s/1").starts_with("HTTP/1.1 200"));

    const auto statedAt = std::chrono::steady_clock::now();
    arrivals = 0;
    std::string last;
    for (int request = 0; request < 20; ++request) {
        last = sendRequest(m_front, "GET /s/1");
    }
    const double elapsed = Core::toSeconds(std::chrono::steady_clock::now() - statedAt);
    EXPECT_LE(arrivals, 1.0 + perSecond * elapsed);
    EXPECT_TRUE(last.starts_with("HTTP/1.1 503")) << last;
    EXPECT_NE(last.find("Retry-After: 0."), std::string::npos) << last;
    EXPECT_NE(sendRequest(m_control, "GET /metrics").find("ragwortcrank_limited_replicas 1"), std::string::npos);

    const auto isServedAgain = [this]() {
        bool served = false;
        return runUntil([&]() {
            served = served || sendRequest(m_front, "GET /s/1").starts_with("HTTP/1.1 200");
            return served;
        });
    };
    limit = "Server-Limit: many\r\n";
    ASSERT_TRUE(isServedAgain());
    EXPECT_TRUE(sendRequest(m_front, "GET /s/1").starts_with("HTTP/1.1 503")) << "an unreadable limit changes nothing";
    limit.clear();
    ASSERT_TRUE(isServedAgain());
    for (int request = 0; request < 5; ++request) {
        EXPECT_TRUE(sendRequest(m_front, "GET /s/1").starts_with("HTTP/1.1 200"));
    }
}

/// When a caller disconnects, the daemon closes its connections to replicas, so that they stop working on the query.
TEST_F(daemon_test, CancelsShardRequestsWhenCallerDisconnects)
{
    std::shared_ptr<raw_connection> pending;
    raw_server slow(m_loop, [&](raw_connection &peer) { pending = peer.shared_from_this(); });
    m_store.putText("config", "main", sampleConfiguration);
    addReplica("i-a", "a", slow);
    startDaemon();
    ASSERT_TRUE(becomesReady());
    const auto caller = connect(m_front);
    ASSERT_TRUE(caller);
    caller->send("GET /g/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\nDeadline-Ms: 3000\r\n\r\n");
    ASSERT_TRUE(runUntil([&]() { return pending != nullptr; }));
    const auto leftAt = std::chrono::steady_clock::now();
    caller->finish();
    caller->socket.close();
    ASSERT_TRUE(runUntil([&]() { return pending->ended; }));
    EXPECT_LT(std::chrono::steady_clock::now() - leftAt, 500ms);
}

/// Each request to a replica carries the caller's remaining time, which is shorter for a retry than for the first one.
TEST_F(daemon_test, ReplicasReceiveRemainingCallerTime)
{
    std::vector<long> left;
    const auto recordTimeAndRespond = [&](raw_connection &peer, const std::string &answer) {
        if (peer.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        const std::string name = "Deadline-Ms: ";
        left.push_back(std::stol(peer.received.substr(peer.received.find(name) + name.size())));
        peer.received.clear();
        peer.send(answer);
    };
    const std::string refusal = "HTTP/1.1 503 X\r\nRequest-Id: id-1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    raw_server first(m_loop, [&](raw_connection &peer) {
        runAfter(100ms, [&recordTimeAndRespond, &refusal, weak = peer.weak_from_this()]() {
            if (const auto open = weak.lock()) {
                recordTimeAndRespond(*open, refusal);
            }
        });
    });
    m_store.putText("config", "main", sampleConfiguration);
    addReplica("i-a", "a", first);
    addReplica("i-a2", "a", first);
    startDaemon();
    ASSERT_TRUE(becomesReady());
    runFor(1200ms); // The slack of the retry budget is earned over a window.
    const std::string answer = sendRequest(m_front, "GET /s/1");
    ASSERT_GE(left.size(), 2U) << answer;
    EXPECT_LE(left[0], 3000);
    EXPECT_GT(left[0], 2000);
    for (std::size_t attempt = 1; attempt < left.size(); ++attempt) {
        EXPECT_LE(left[attempt], left[attempt - 1] - 90) << attempt;
    }
}

/// A replica may respond before it has read a long body. What it reads afterwards must be the rest of that body,
/// possibly followed by another complete request.
TEST_F(daemon_test, EarlyResponseIsFollowedByRestOfBodyOnly)
{
    std::map<raw_connection *, std::size_t> remainingBytes; // Bytes of the body still to be received, by connection.
    int answered = 0;
    raw_server early(m_loop, [&](raw_connection &peer) {
        std::size_t &left = remainingBytes[&peer];
        const std::size_t taken = std::min(left, peer.received.size());
        EXPECT_EQ(peer.received.find_first_not_of('b', 0), taken < peer.received.size() ? taken : std::string::npos);
        peer.received.erase(0, taken);
        left -= taken;
        const std::size_t end = peer.received.find("\r\n\r\n");
        if (left > 0 || end == std::string::npos) {
            return;
        }
        EXPECT_TRUE(peer.received.starts_with("POST /s/1 HTTP/1.1\r\n")) << peer.received.substr(0, 80);
        const std::string name = "Content-Length: ";
        left = std::stoul(peer.received.substr(peer.received.find(name) + name.size()));
        peer.received.erase(0, end + 4);
        const std::size_t first = std::min(left, peer.received.size());
        peer.received.erase(0, first);
        left -= first;
        ++answered;
        peer.send("HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Stamp: d\r\nContent-Length: 2\r\n\r\nok");
    });
    m_store.putText("config", "main", sampleConfiguration);
    addReplica("i-a", "a", early);
    startDaemon();
    ASSERT_TRUE(becomesReady());
    constexpr int requests = 5;
    for (int request = 0; request < requests; ++request) {
        const auto caller = connect(m_front);
        ASSERT_TRUE(caller);
        const std::string body(200'000, 'b'); // Large enough to need many reads.
        caller->send("POST /s/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\nContent-Length: "
                     + std::to_string(body.size()) + "\r\n\r\n" + body);
        EXPECT_TRUE(runUntil([&]() { return caller->received.ends_with("ok"); })) << caller->received;
    }
    EXPECT_EQ(answered, requests);
}
