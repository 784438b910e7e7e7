#include "Support/LoopFixture.h"
#include "Support/RawServer.h"

#include "LibFront/HttpServer.h"

using namespace std::chrono_literals;

namespace
{
class caller_connection_test : public loop_fixture
{
protected:
    void SetUp() override
    {
        m_limits.headerBytes = 1024;
        m_limits.bodyBytes = 100;
        m_limits.headerTimeout = 300ms;
        m_limits.idleTimeout = 600ms;
        const auto handler = [this](Front::request_message &&request, const Front::reply_function &reply) {
            m_receivedRequests.push_back(std::string(request.method_string()) + " " + std::string(request.target())
                                         + " " + request.body());
            if (request.target() == "/slow") {
                m_slowReply = reply;
                return Front::abandon_function([this]() { m_abandoned = true; });
            }
            Front::answer result;
            result.status = 200;
            result.body = "to " + std::string(request.target());
            reply(std::move(result));
            return Front::abandon_function();
        };
        // Uses a port that was just free: the probing acceptor is closed before the server binds to it.
        boost::asio::ip::tcp::acceptor probe(m_loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
        m_address = probe.local_endpoint();
        probe.close();
        m_server = std::make_unique<Front::http_server>(
            m_loop, m_timers, "127.0.0.1:" + std::to_string(m_address.port()), handler, [this]() { return m_limits; });
        m_server->listen(0ms, [](const boost::system::error_code &error) { ASSERT_FALSE(error); });
        m_caller = connect();
    }

    std::shared_ptr<raw_connection> connect()
    {
        boost::asio::ip::tcp::socket socket(m_loop);
        socket.connect(m_address);
        auto caller = std::make_shared<raw_connection>(std::move(socket));
        caller->read([](raw_connection &) {});
        return caller;
    }

    bool receives(const std::string &text)
    {
        return runUntil([&]() { return m_caller->received.find(text) != std::string::npos; });
    }

    bool isClosed()
    {
        return runUntil([&]() { return m_caller->ended; });
    }

    /// Returns the status of the response to malformed bytes, and expects the connection to close after it.
    std::string rejectionStatus(const std::string &bytes)
    {
        m_caller->send(bytes);
        EXPECT_TRUE(isClosed());
        EXPECT_TRUE(m_receivedRequests.empty());
        return m_caller->received.substr(9, 3);
    }

    Forward::caller_limits m_limits;
    std::vector<std::string> m_receivedRequests;
    Front::reply_function m_slowReply;
    bool m_abandoned = false;
    boost::asio::ip::tcp::endpoint m_address;
    std::unique_ptr<Front::http_server> m_server;
    std::shared_ptr<raw_connection> m_caller;
};
} // namespace

TEST_F(caller_connection_test, AnswersPipelinedRequestsInOrder)
{
    m_caller->send(
        "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([this]() { return static_cast<bool>(m_slowReply); }));
    runFor(50ms);
    EXPECT_EQ(m_receivedRequests.size(), 1U);
    Front::answer first;
    first.status = 200;
    first.body = "first";
    m_slowReply(first);
    ASSERT_TRUE(receives("to /3"));
    EXPECT_LT(m_caller->received.find("first"), m_caller->received.find("to /2"));
    EXPECT_LT(m_caller->received.find("to /2"), m_caller->received.find("to /3"));
}

TEST_F(caller_connection_test, ReassemblesChunkedBody)
{
    m_caller->send("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    runFor(30ms);
    m_caller->send("2\r\nde\r\n0\r\n\r\n");
    ASSERT_TRUE(receives("to /p"));
    EXPECT_EQ(m_receivedRequests.at(0), "POST /p abcde");
}

TEST_F(caller_connection_test, SendsInterimResponseWhenExpected)
{
    m_caller->send("POST /p HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    ASSERT_TRUE(receives("100 Continue"));
    m_caller->send("ab");
    ASSERT_TRUE(receives("to /p"));
}

TEST_F(caller_connection_test, RejectsConflictingContentLengths)
{
    EXPECT_EQ(rejectionStatus("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc"),
              "400");
}

TEST_F(caller_connection_test, RejectsDuplicateContentLength)
{
    EXPECT_EQ(rejectionStatus("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab"),
              "400");
}

TEST_F(caller_connection_test, RejectsContentLengthCombinedWithChunkedEncoding)
{
    EXPECT_EQ(rejectionStatus(
                  "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
              "400");
    m_caller = connect();
    EXPECT_EQ(rejectionStatus(
                  "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"),
              "400");
}

TEST_F(caller_connection_test, RejectsUnknownTransferEncoding)
{
    EXPECT_EQ(rejectionStatus("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
              "400");
}

TEST_F(caller_connection_test, RejectsInvalidChunkSize)
{
    EXPECT_EQ(rejectionStatus("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n"), "400");
}

TEST_F(caller_connection_test, RejectsMalformedRequestLine)
{
    EXPECT_EQ(rejectionStatus("GET\x01/ HTTP/1.1\r\n\r\n"), "400");
}

TEST_F(caller_connection_test, RejectsMissingHost)
{
    EXPECT_EQ(rejectionStatus("GET / HTTP/1.1\r\n\r\n"), "400");
}

TEST_F(caller_connection_test, RejectsHeaderAboveSizeLimit)
{
    EXPECT_EQ(rejectionStatus("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2000, 'x') + "\r\n\r\n"), "431");
}

TEST_F(caller_connection_test, RejectsBodyAboveSizeLimit)
{
    EXPECT_EQ(rejectionStatus("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n"), "413");
}

TEST_F(caller_connection_test, RejectsIncompleteHeaderAfterTimeout)
{
    EXPECT_EQ(rejectionStatus("GET / HTTP/1.1\r\nHo"), "408");
}

TEST_F(caller_connection_test, ClosesIdleConnectionOnlyAfterIdleTimeout)
{
    m_caller->send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(receives("to /1"));
    runFor(400ms);
    EXPECT_FALSE(m_caller->ended);
    m_caller->send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(receives("to /2"));
    EXPECT_TRUE(isClosed());
}

TEST_F(caller_connection_test, AbandonsRequestWhenCallerDisconnects)
{
    m_caller->send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([this]() { return static_cast<bool>(m_slowReply); }));
    m_caller->socket.close();
    EXPECT_TRUE(runUntil([this]() { return m_abandoned; }));
}

TEST_F(caller_connection_test, ClosesConnectionWhenRequestAsksForIt)
{
    m_caller->send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(isClosed());
    EXPECT_NE(m_caller->received.find("Connection: close"), std::string::npos);
    EXPECT_NE(m_caller->received.find("to /1"), std::string::npos);
}

TEST_F(caller_connection_test, OmitsBodyInResponseToHead)
{
    m_caller->send("HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(receives("to /2"));
    EXPECT_EQ(m_caller->received.find("to /1"), std::string::npos);
}

/// On a planned stop, a running request is completed, and its response asks the caller to close the connection.
TEST_F(caller_connection_test, CompletesRunningRequestOnGracefulStop)
{
    m_caller->send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runUntil([this]() { return static_cast<bool>(m_slowReply); }));
    m_server->beginGracefulStop();
    m_server->stopAccepting();
    Front::answer last;
    last.status = 200;
    last.body = "last";
    m_slowReply(last);
    EXPECT_TRUE(receives("last"));
    EXPECT_TRUE(isClosed());
    EXPECT_NE(m_caller->received.find("Connection: close"), std::string::npos);
}
