#include "DaemonFixture.h"

#include <vector>

using namespace std::chrono_literals;

namespace
{
/// A way in which a replica frames its answer.
struct framing {
    std::string head;
    std::string body; ///< As it is sent.
    std::string content; ///< What the body means.
    bool endsWithConnection = false;
};

std::vector<framing> framings()
{
    const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nServer-Stamp: digest-a\r\n";
    const std::string content = record('b');
    return {{start + "Content-Length: 16\r\n\r\n", content, content, false},
            {start + "Transfer-Encoding: chunked\r\n\r\n",
             "9\r\n" + content.substr(0, 9) + "\r\n7\r\n" + content.substr(9) + "\r\n0\r\n\r\n", content, false},
            {start + "\r\n", content, content, true}};
}

class truncated_answers_test : public daemon_test
{
protected:
    /// Starts a daemon and a replica of service a that sends `m_bytes` and closes the connection. If `m_isKept`, it
    /// answers the first request on a connection completely.
    void startWithReplica()
    {
        // All shards are required, so that the replica is asked although it has failed before.
        std::string configuration = sampleConfiguration;
        const std::string coverage = "\"min-coverage\": 0.5";
        configuration.replace(configuration.find(coverage), coverage.size(), "\"min-coverage\": 1.0");
        m_store.putText("config", "main", configuration);
        addReplica("i-a", "a", m_cutting);
        addReplica("i-b", "b", m_whole);
        startDaemon();
        ASSERT_TRUE(becomesReady());
    }

    void answerCut(raw_connection &peer)
    {
        if (peer.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        peer.received.clear();
        ++m_arrivals;
        if (m_isKept && m_answered.insert(&peer).second) {
            peer.send("HTTP/1.1 200 OK\r\nRequest-Id: id-0\r\nServer-Stamp: whole\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        peer.send(m_bytes);
        peer.finish();
    }

    /// Sends one request, and one before it if the replica is to have an open connection already.
    std::string answerTo(const std::string &target)
    {
        m_answered.clear();
        if (m_isKept) {
            sendRequest(m_front, "GET " + target, "id-0"); // A connection carries an id only once.
        }
        return sendRequest(m_front, "GET " + target);
    }

    std::string m_bytes;
    bool m_isKept = false;
    int m_arrivals = 0;
    std::set<const raw_connection *> m_answered;
    raw_server m_cutting {m_loop, [this](raw_connection &peer) {
                              answerCut(peer);
                          }};
    raw_server m_whole {m_loop, answering("digest-b", record('c'))};
};
} // namespace

/// Guards against an answer that ends early, at any byte, and reaches the caller as a complete success: on a new and on
/// a kept connection, alone and after other answers, from one replica and as a part of a gathered answer.
TEST_F(truncated_answers_test, AnswerThatEndsEarlyIsNeverASuccess)
{
    startWithReplica();
    int expectedArrivals = 0;
    const std::vector<std::string> preludes {"", "HTTP/1.1 100 Continue\r\n\r\n",
                                             "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nServer-Stamp: digest-a\r\n"
                                             "Content-Length: 2\r\n\r\nno"};
    for (const framing &framed : framings()) {
        const std::string whole = framed.head + framed.body;
        for (std::size_t cut = 0; cut < whole.size(); ++cut) {
            // Each prelude and each kind of connection at some cuts; the first ones at all of them.
            const std::string &prelude = preludes[cut % 4 == 1 ? 1 : cut % 4 == 2 ? 2 : 0];
            m_isKept = cut % 8 >= 4;
            m_bytes = prelude + whole.substr(0, cut);
            const bool mayBeWhole = framed.endsWithConnection && cut >= framed.head.size();
            const std::string single = answerTo("/s/1");
            EXPECT_TRUE(!single.empty()) << "cut at " << cut;
            if (single.starts_with("HTTP/1.1 2")) {
                EXPECT_TRUE(mayBeWhole) << "cut at " << cut << ": " << single;
            }
            const std::string gathered = answerTo("/g/1");
            EXPECT_TRUE(!gathered.empty()) << "cut at " << cut;
            if (gathered.starts_with("HTTP/1.1 2")) {
                EXPECT_TRUE(mayBeWhole) << "cut at " << cut << ": " << gathered;
            }
            expectedArrivals += 2;
        }
        m_isKept = false;
        m_bytes = whole;
        const std::string complete = answerTo("/s/1");
        EXPECT_TRUE(complete.starts_with("HTTP/1.1 200") && complete.ends_with(framed.content)) << complete;
    }
    EXPECT_GE(m_arrivals, expectedArrivals) << "requests did not reach the replica";
}
