#include "ScriptedReplicaFixture.h"

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

using truncated_answers_test = scripted_replica_test;
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
