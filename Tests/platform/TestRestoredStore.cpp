#include "DaemonFixture.h"

using namespace std::chrono_literals;

namespace
{
class restored_store_test : public daemon_test
{
protected:
    void putVersion(int version, const std::string &service)
    {
        boost::json::value configuration = boost::json::parse(sampleConfiguration);
        configuration.at("version") = version;
        configuration.at("routes").at(1).at("backend") = service;
        m_store.put("config", "main", configuration);
    }

    bool isServedBy(const std::string &digest, std::chrono::milliseconds limit)
    {
        const auto until = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < until) {
            if (sendRequest(m_front, "GET /s/1").find("Server-Stamp: " + digest) != std::string::npos) {
                return true;
            }
        }
        return false;
    }
};
} // namespace

/// Guards against configurations that no daemon puts in force after the store came back from an older copy: its
/// revisions were below those that the daemon had read.
TEST_F(restored_store_test, VersionWrittenAfterTheRestoreIsInForceInTime)
{
    raw_server first(m_loop, answering("digest-a", "a"));
    raw_server second(m_loop, answering("digest-b", "b"));
    putVersion(5, "a");
    addReplica("i-a", "a", first);
    addReplica("i-b", "b", second);
    m_store.keepCopy();
    startDaemon();
    ASSERT_TRUE(becomesReady());
    for (int version = 6; version < 40; ++version) {
        putVersion(version, "a");
    }
    ASSERT_TRUE(isServedBy("digest-a", 3s));
    runFor(500ms);
    m_store.restoreCopy();
    putVersion(39, "a");
    runFor(500ms);
    putVersion(41, "b");
    EXPECT_TRUE(isServedBy("digest-b", 3s));
    EXPECT_NE(sendRequest(m_control, "GET /metrics").find("ragwortcrank_store_restores_total 1"), std::string::npos);
}

/// Guards against an older version that is put in force again, and against replicas that are given up, because the copy
/// has the one and lacks the others.
TEST_F(restored_store_test, CopyTakesNothingBackThatIsInForce)
{
    raw_server first(m_loop, answering("digest-a", "a"));
    raw_server second(m_loop, answering("digest-b", "b"));
    putVersion(5, "a");
    addReplica("i-a", "a", first);
    m_store.keepCopy();
    addReplica("i-b", "b", second);
    putVersion(6, "b");
    startDaemon();
    ASSERT_TRUE(becomesReady());
    ASSERT_TRUE(isServedBy("digest-b", 3s));
    m_store.restoreCopy();
    const auto restoredAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - restoredAt < 1500ms) {
        const std::string answer = sendRequest(m_front, "GET /s/1");
        ASSERT_NE(answer.find("Server-Stamp: digest-b"), std::string::npos) << answer;
    }
    addReplica("i-b", "b", second);
    putVersion(6, "b");
    runFor(2s);
    EXPECT_NE(sendRequest(m_front, "GET /s/1").find("Server-Stamp: digest-b"), std::string::npos);
}
