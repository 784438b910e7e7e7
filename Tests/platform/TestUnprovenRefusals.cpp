#include "ScriptedReplicaFixture.h"

namespace
{
class unproven_refusals_test : public scripted_replica_test
{
protected:
    static std::string failure(const std::string &status, const std::string &fields)
    {
        return "HTTP/1.1 " + status + " X\r\nRequest-Id: id-1\r\n" + fields + "Content-Length: 3\r\n\r\nran";
    }
};
} // namespace

/// Guards against a request that the caller sends again, although it has run and may run once: the replica's status,
/// which promises that it has not, was passed on.
TEST_F(unproven_refusals_test, StatusOfAReplicaIsNoPromiseToTheCallerOfARequestThatMayRunOnce)
{
    startWithReplica();
    for (const std::string status : {"408", "421", "429", "503"}) {
        m_bytes = failure(status, "Server-Stamp: digest\r\n");
        const int before = m_arrivals;
        const std::string received = answerTo("/s/1");
        EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << received;
        EXPECT_EQ(received.find("Server-Stamp"), std::string::npos) << received;
        EXPECT_EQ(received.find("Retry-After"), std::string::npos) << received;
        EXPECT_EQ(m_arrivals, before + 1) << status;
    }
}

TEST_F(unproven_refusals_test, StatementOfTheReplicaIsPassedOnAsAPromise)
{
    startWithReplica();
    m_bytes = failure("503", "Not-Executed: 1\r\n");
    const std::string received = answerTo("/s/1");
    EXPECT_TRUE(received.starts_with("HTTP/1.1 503")) << received;
    EXPECT_NE(received.find("Retry-After"), std::string::npos) << received;
}

/// An idempotent request may be sent again after any failure, so that its replica's response arrives as it is.
TEST_F(unproven_refusals_test, FailureOfAnIdempotentRequestIsForwarded)
{
    std::string configuration = sampleConfiguration;
    replaceFirst(configuration, "non_idempotent", "idempotent");
    startWithReplica(configuration);
    m_bytes = failure("503", "Server-Stamp: digest\r\n");
    const std::string received = answerTo("/s/1");
    EXPECT_TRUE(received.starts_with("HTTP/1.1 503")) << received;
    EXPECT_NE(received.find("Server-Stamp: digest"), std::string::npos) << received;
}

/// A part that failed may have run, so that the whole request may have.
TEST_F(unproven_refusals_test, QueryOverSeveralShardsIsNotRefusedAfterAPartFailed)
{
    startWithReplica();
    for (const std::string status : {"429", "503"}) {
        m_bytes = failure(status, "Server-Stamp: digest\r\n");
        const std::string received = answerTo("/g/1");
        EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << received;
        EXPECT_EQ(received.find("digest"), std::string::npos) << received;
    }
}
