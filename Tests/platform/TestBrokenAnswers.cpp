#include "ScriptedReplicaFixture.h"

#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace
{
const std::string identity = "Request-Id: id-1\r\nServer-Stamp: digest-a\r\n";
const std::string sixteenBytes = "Content-Length: 16\r\n";
const std::string chunks = "10\r\n" + record('b') + "\r\n0\r\n";

/// Returns the fields and the body of an answer with the given fields.
std::string fieldsAndBody(const std::string &fields)
{
    return fields + sixteenBytes + "\r\n" + record('b');
}

/// Returns a success with the given fields.
std::string success(const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\n" + fieldsAndBody(fields);
}

/// Returns a success whose body is sent in one chunk and followed by the given trailer fields.
std::string successWithTrailer(const std::string &fields, const std::string &trailer)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks + trailer + "\r\n";
}

class broken_answers_test : public scripted_replica_test
{
protected:
    /// Expects that the daemon answers with a failure of its own: on new and on kept connections, whether the replica
    /// closes the connection or not, to a request to one replica and to one to several shards.
    void expectFailure(const std::string &bytes)
    {
        m_bytes = bytes;
        for (const bool endsConnection : {false, true}) {
            for (const bool isKept : {false, true}) {
                m_endsConnection = endsConnection;
                m_isKept = isKept;
                for (const std::string target : {"/s/1", "/g/1"}) {
                    const int before = m_arrivals;
                    const std::string received = answerTo(target);
                    EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << bytes << "became\n" << received;
                    EXPECT_EQ(received.find("Stamp"), std::string::npos) << bytes << "became\n" << received;
                    EXPECT_GT(m_arrivals, before) << "the request did not reach the replica";
                }
            }
        }
    }

    /// Expects that the answer is passed on with the given content. Returns what the caller of one replica received.
    std::string expectSuccess(const std::string &bytes, const std::string &content = record('b'))
    {
        m_bytes = bytes;
        std::string single;
        for (const bool isKept : {false, true}) {
            m_endsConnection = true;
            m_isKept = isKept;
            single = answerTo("/s/1");
            EXPECT_TRUE(single.starts_with("HTTP/1.1 200")) << bytes << "became\n" << single;
            EXPECT_TRUE(single.ends_with("\r\n\r\n" + content)) << bytes << "became\n" << single;
            EXPECT_NE(single.find("Server-Stamp: digest-a\r\n"), std::string::npos) << single;
            const std::string gathered = answerTo("/g/1");
            EXPECT_TRUE(gathered.starts_with("HTTP/1.1 200")) << bytes << "became\n" << gathered;
            EXPECT_NE(gathered.find("digest-a, digest-b\r\n"), std::string::npos) << gathered;
        }
        return single;
    }

    /// Returns the value of one of the daemon's metrics as text.
    std::string metric(const std::string &name)
    {
        const std::string text = sendRequest(m_control, "GET /metrics");
        const std::string line = "\n" + name + " ";
        const std::size_t begin = text.find(line);
        EXPECT_NE(begin, std::string::npos) << name;
        const std::size_t value = begin + line.size();
        return begin == std::string::npos ? std::string() : text.substr(value, text.find('\n', value) - value);
    }
};
} // namespace

/// Guards against a status outside of the protocol that reaches the caller as the answer of the replica.
TEST_F(broken_answers_test, StatusOutsideOfTheProtocolIsNoAnswer)
{
    startWithReplica();
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        expectFailure("HTTP/1.1 " + status + " Odd\r\n" + fieldsAndBody(identity));
    }
    EXPECT_EQ(metric("ragwortcrank_invalid_responses_total"), "40") << "one for each attempt";
}

/// Guards against a report of the replica that is taken from such an answer: that the request has not run, that the
/// replica shuts down, or a limit on its requests.
TEST_F(broken_answers_test, NothingIsTakenFromAnswerWithStatusOutsideOfTheProtocol)
{
    startWithReplica();
    const std::string notices = "Server-Leaving: 1\r\nServer-Limit: 0.5\r\nServer-Load: 900,900,1\r\n";
    expectFailure("HTTP/1.1 000 Odd\r\n" + fieldsAndBody(identity + "Not-Executed: 1\r\n" + notices));
    EXPECT_EQ(metric("ragwortcrank_replicas_shutting_down"), "0");
    EXPECT_EQ(metric("ragwortcrank_limited_replicas"), "0");
}

/// The faster replica of two sends a broken answer. Another attempt at the other one serves the request.
TEST_F(broken_answers_test, IdempotentRequestIsSentAgainAfterBrokenAnswer)
{
    const raw_server::script answerAtOnce = answering("digest-slow", record('s'));
    raw_server slow(m_loop, [&](raw_connection &peer) {
        runAfter(20ms, [&, self = peer.shared_from_this()]() { answerAtOnce(*self); });
    });
    addReplica("i-slow", "a", slow);
    std::string configuration = sampleConfiguration;
    replaceFirst(configuration, "non_idempotent", "idempotent");
    startWithReplica(configuration);
    m_endsConnection = false;
    m_bytes = success(identity);
    ASSERT_TRUE(runUntil([&]() { return answerTo("/s/1").ends_with(record('b')) && m_arrivals > 3; }));
    m_bytes = "HTTP/1.1 000 Odd\r\n" + fieldsAndBody(identity);
    const int before = m_arrivals;
    for (int request = 0; request < 20; ++request) {
        const std::string received = answerTo("/s/1");
        EXPECT_TRUE(received.starts_with("HTTP/1.1 200") && received.ends_with(record('s'))) << received;
    }
    EXPECT_GT(m_arrivals, before);
}

/// Guards against a line that begins with a blank and is joined to the field before it, which changes the digest.
TEST_F(broken_answers_test, FoldedLineIsNoPartOfAnAnswer)
{
    startWithReplica();
    expectFailure(success(identity + " X: a\r\n"));
    expectFailure(success(identity + "\tX: a\r\n"));
    expectFailure(success(identity + "X-Empty:\r\n \r\n"));
    expectFailure("HTTP/1.1 500 Internal Server Error\r\n" + fieldsAndBody(identity + " X: a\r\n"));
}

/// Guards against a field after the body that counts as if the head of the answer held it.
TEST_F(broken_answers_test, TrailerFieldsAreNotMergedIntoTheHead)
{
    startWithReplica();
    for (const std::string trailer : {"Server-Stamp: digest-x\r\n", "Request-Id: id-x\r\n", "Not-Executed: 1\r\n",
                                      "Content-Encoding: gzip\r\n", "Retry-After: 1000\r\n", "Server-Leaving: 1\r\n",
                                      "Server-Limit: 0.5\r\n", "Connection: X-Kept\r\n", "X-Trailer: a\r\n", ""}) {
        const std::string received = expectSuccess(successWithTrailer(identity + "X-Kept: a\r\n", trailer));
        EXPECT_NE(received.find("X-Kept: a\r\n"), std::string::npos) << trailer << received;
        EXPECT_EQ(received.find("digest-x"), std::string::npos) << received;
        EXPECT_EQ(received.find("id-x"), std::string::npos) << received;
    }
    EXPECT_EQ(metric("ragwortcrank_replicas_shutting_down"), "0");
    EXPECT_EQ(metric("ragwortcrank_limited_replicas"), "0");
    expectFailure(successWithTrailer("Request-Id: id-1\r\n", "Server-Stamp: digest-a\r\n"));
}

/// Guards against coded bytes that reach the caller as the replica's body.
TEST_F(broken_answers_test, BodyInUnknownTransferCodingIsNoAnswer)
{
    startWithReplica();
    const auto coded = [](const std::string &fields) {
        return "HTTP/1.1 200 OK\r\n" + identity + fields + "\r\n" + chunks + "\r\n";
    };
    expectFailure(coded("Transfer-Encoding: gzip\r\n"));
    expectFailure(coded("Transfer-Encoding: chunked, gzip\r\n"));
    expectFailure(coded("Transfer-Encoding: gzip, chunked\r\n"));
    expectFailure(coded("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"));
    expectFailure(coded("Transfer-Encoding: xchunked\r\n"));
    expectFailure(coded("Transfer-Encoding: chunked;level=1\r\n"));
    expectFailure(coded("Transfer-Encoding: chunked gzip\r\n"));
}

/// Guards against an answer that contradicts itself on what it belongs to.
TEST_F(broken_answers_test, ContradictoryIdentityIsNoAnswer)
{
    startWithReplica();
    expectFailure(success(identity + "Server-Stamp: digest-x\r\n"));
    expectFailure(success(identity + "server-stamp: digest-x\r\n"));
    expectFailure(success(identity + "Request-Id: id-x\r\n"));
    expectFailure(success("Request-Id: id-x\r\n" + identity));
    expectFailure("HTTP/1.1 500 Internal Server Error\r\n" + fieldsAndBody(identity + "Server-Stamp: digest-x\r\n"));
    expectFailure("HTTP/1.1 503 Service Unavailable\r\n"
                  + fieldsAndBody(identity + "Server-Stamp: digest-x\r\nNot-Executed: 1\r\n"));
}

/// Names of fields that hold a blank, a control byte or a delimiter, in the head and after the chunks.
TEST_F(broken_answers_test, InvalidFieldNameIsNoPartOfAnAnswer)
{
    startWithReplica();
    for (const std::string &line :
         {std::string("X Y: a"), std::string("X\tY: a"), std::string("X\0Y: a", 6), std::string("X\x01Y: a"),
          std::string("X\x7fY: a"), std::string("X\x80Y: a"), std::string("X[Y]: a"), std::string("X(Y): a"),
          std::string("X : a"), std::string("X"), std::string(": a")}) {
        expectFailure(success(identity + line + "\r\n"));
        expectFailure(success(line + "\r\n" + identity));
        expectFailure(successWithTrailer(identity, line + "\r\n"));
    }
    expectFailure(success(" X: a\r\n" + identity));
    expectFailure("HTTP/1.1 500 Internal Server Error\r\n" + fieldsAndBody(identity + "X Y: a\r\n"));
}

/// Status lines that the parser does not accept.
TEST_F(broken_answers_test, MalformedStatusLineIsNoAnswer)
{
    startWithReplica();
    for (const std::string start :
         {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 abc OK", "HTTP/1.1 -20 OK", "HTTP/1.1 200",
          "HTTP/1.1", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK"}) {
        expectFailure(start + "\r\n" + fieldsAndBody(identity));
    }
    for (const std::string start : {"HTTP/1.1 100 Continue", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 199 Odd"}) {
        expectFailure(start + "\r\n" + fieldsAndBody(identity)); // The body stands where the next answer is expected.
    }
}

/// Lengths of the body that contradict each other or are no decimal numbers.
TEST_F(broken_answers_test, MalformedLengthIsNoAnswer)
{
    startWithReplica();
    for (const std::string fields :
         {"Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n", "Content-Length: +16\r\n"}) {
        expectFailure(success(identity + fields));
    }
    for (const std::string length : {"16, 12", "+16", "-16", "0x10", "1e1", "99999999999999999999", "16 16", ""}) {
        expectFailure("HTTP/1.1 200 OK\r\n" + identity + "Content-Length: " + length + "\r\n\r\n" + record('b'));
    }
}

/// Every sound way to frame an answer stays an answer.
TEST_F(broken_answers_test, SoundAnswersArePassedOn)
{
    startWithReplica();
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    expectSuccess(success(identity));
    expectSuccess(interim + success(identity));
    expectSuccess("HTTP/1.0 200 OK\r\n" + fieldsAndBody(identity));
    expectSuccess("HTTP/1.1 200 \r\n" + fieldsAndBody(identity));
    expectSuccess("HTTP/1.1 200 OK\r\n" + identity + "\r\n" + record('b'));
    expectSuccess("HTTP/1.1 200 OK\r\n" + identity + "Content-Length: 16, 16\r\n\r\n" + record('b'));
    expectSuccess(success(identity + "Request-Id: id-1\r\nX-Token!#$%&'*+-.^_`|~9: a\r\n"));
    expectSuccess(successWithTrailer(identity, ""));
    expectSuccess("HTTP/1.1 200 OK\r\n" + identity + "Transfer-Encoding: Chunked\r\n\r\n" + chunks + "\r\n");
    expectSuccess(success(identity + "X-List: a\r\nX-List: b\r\n"));
}

/// Final statuses without a body, failures of the replica, and the least and greatest status of the protocol.
TEST_F(broken_answers_test, EveryFinalStatusIsPassedOnFromOneReplica)
{
    startWithReplica();
    m_endsConnection = false;
    for (const std::string status : {"200", "201", "204", "299", "304", "400", "404", "418", "499", "500", "599"}) {
        const bool hasBody = status != "204" && status != "304";
        m_bytes = "HTTP/1.1 " + status + " Reason\r\n" + (hasBody ? fieldsAndBody(identity) : identity + "\r\n");
        const std::string received = answerTo("/s/1");
        EXPECT_TRUE(received.starts_with("HTTP/1.1 " + status + " ")) << received;
        EXPECT_NE(received.find("Server-Stamp: digest-a\r\n"), std::string::npos) << received;
        EXPECT_EQ(received.ends_with(record('b')), hasBody) << received;
    }
}
