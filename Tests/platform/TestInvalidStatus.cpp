#include "DaemonFixture.h"

using namespace std::chrono_literals;

namespace
{
/// A daemon with two replicas of one service. Each answers with its status after its delay.
class invalid_status_test : public daemon_test
{
protected:
    struct replica {
        std::string digest;
        std::string status = "200";
        std::chrono::milliseconds delay {};
        int arrivals = 0;
    };

    void start()
    {
        std::string configuration = sampleConfiguration;
        const std::string policy = "non_idempotent";
        configuration.replace(configuration.find(policy), policy.size(), "idempotent");
        m_store.putText("config", "main", configuration);
        addReplica("i-first", "a", m_firstServer);
        addReplica("i-second", "a", m_secondServer);
        startDaemon();
        ASSERT_TRUE(becomesReady());
        runFor(1200ms); // Until the budget for further attempts can be used.
    }

    std::string metric(const std::string &name)
    {
        const std::string text = sendRequest(m_control, "GET /metrics");
        const std::size_t begin = text.find("\n" + name + " ");
        return begin == std::string::npos ? std::string() : text.substr(begin + 1, text.find('\n', begin + 1) - begin);
    }

    raw_server::script answers(replica &own)
    {
        return [&](raw_connection &peer) {
            if (peer.received.find("\r\n\r\n") == std::string::npos) {
                return;
            }
            peer.received.clear();
            ++own.arrivals;
            runAfter(own.delay, [&own, self = peer.shared_from_this()]() {
                self->send("HTTP/1.1 " + own.status + " X\r\nRequest-Id: id-1\r\nServer-Stamp: " + own.digest
                           + "\r\nContent-Length: 0\r\n\r\n");
            });
        };
    }

    replica m_first {"digest-first"};
    replica m_second {"digest-second"};
    raw_server m_firstServer {m_loop, answers(m_first)};
    raw_server m_secondServer {m_loop, answers(m_second)};
};
} // namespace

/// Guards against a status outside of HTTP that is taken for the answer of a hedge: that of the first attempt is the
/// caller's.
TEST_F(invalid_status_test, HedgeDoesNotAnswerTheRequest)
{
    start();
    m_second.delay = 30ms;
    for (int request = 0; request < 30; ++request) {
        ASSERT_TRUE(sendRequest(m_front, "GET /s/1").starts_with("HTTP/1.1 200"));
    }
    m_first.delay = 1500ms;
    m_second.delay = 0ms;
    m_second.status = "000";
    const std::string hedgesBefore = metric("ragwortcrank_hedges_total");
    const int before = m_second.arrivals;
    const std::string received = sendRequest(m_front, "GET /s/1");
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
    EXPECT_NE(received.find("digest-first"), std::string::npos) << received;
    EXPECT_EQ(m_second.arrivals, before + 1);
    EXPECT_NE(metric("ragwortcrank_hedges_total"), hedgesBefore);
}

/// The same for a retry, when the first attempt has failed as well.
TEST_F(invalid_status_test, RetryDoesNotAnswerTheRequest)
{
    m_first.status = "000";
    m_second.status = "999";
    start();
    const std::string received = sendRequest(m_front, "GET /s/1");
    EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << received;
    EXPECT_EQ(received.find("digest"), std::string::npos) << received;
    EXPECT_EQ(m_first.arrivals, 1);
    EXPECT_EQ(m_second.arrivals, 1);
}
