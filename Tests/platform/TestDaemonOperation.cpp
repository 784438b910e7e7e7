#include "DaemonFixture.h"

#include <csignal>

using namespace std::chrono_literals;

/// A stopping daemon reports not ready, serves open connections before it closes them, and exits within the grace
/// period.
TEST_F(daemon_test, PlannedStopCompletesRequestsInProgress)
{
    raw_connection *pending = nullptr;
    raw_server slow(m_loop, [&](raw_connection &peer) { pending = &peer; });
    m_store.putText("config", "main", sampleConfiguration);
    addReplica("i-a", "a", slow);
    startDaemon();
    ASSERT_TRUE(becomesReady());
    const auto caller = connect(m_front);
    ASSERT_TRUE(caller);
    caller->send("POST /s/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\nContent-Length: 2\r\n\r\nab");
    ASSERT_TRUE(runUntil([&]() { return pending != nullptr; }));
    m_daemon->signal(SIGTERM);
    ASSERT_TRUE(runUntil([this]() { return sendRequest(m_ready, "GET /api/ready").starts_with("HTTP/1.1 503"); }));
    pending->send("HTTP/1.1 200 OK\r\nServer-Stamp: d\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_TRUE(runUntil([&]() { return caller->received.ends_with("ok"); })) << caller->received;
    EXPECT_NE(caller->received.find("Connection: close"), std::string::npos);
    ASSERT_TRUE(runUntil([this]() { return m_daemon->exitStatus().has_value(); }));
    EXPECT_EQ(m_daemon->exitStatus(), 0);
}

/// Guards against requests that come late in a planned stop, are passed on, may run, and are cut off when the process
/// exits. The grace period is 4 s.
TEST_F(daemon_test, RefusesRequestsThatCannotEndBeforeAPlannedStopEnds)
{
    int arrivals = 0;
    raw_server slow(m_loop, [&](raw_connection &) { ++arrivals; });
    m_store.putText("config", "main", sampleConfiguration);
    addReplica("i-a", "a", slow);
    startDaemon();
    ASSERT_TRUE(becomesReady());
    const auto kept = connect(m_front);
    ASSERT_TRUE(kept);
    m_daemon->signal(SIGTERM);
    ASSERT_TRUE(runUntil([this]() { return sendRequest(m_ready, "GET /api/ready").starts_with("HTTP/1.1 503"); }));
    runFor(2s);
    kept->send("POST /s/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\nDeadline-Ms: 3000\r\n"
               "Content-Length: 2\r\n\r\nab");
    EXPECT_TRUE(runUntil([&]() { return kept->ended; }));
    EXPECT_TRUE(kept->received.starts_with("HTTP/1.1 503")) << kept->received;
    EXPECT_NE(kept->received.find("Retry-After: 0.0"), std::string::npos) << kept->received;
    EXPECT_NE(kept->received.find("Connection: close"), std::string::npos) << kept->received;
    EXPECT_EQ(arrivals, 0);
}

/// Guards against requests whose connection ends without an answer when the process exits while a replica is at work.
TEST_F(daemon_test, AnswersRequestsThatHaveNotEndedWhenAPlannedStopEnds)
{
    int arrivals = 0;
    raw_server slow(m_loop, [&](raw_connection &) { ++arrivals; });
    m_store.putText("config", "main", sampleConfiguration);
    addReplica("i-a", "a", slow);
    addReplica("i-b", "b", slow);
    startDaemon();
    ASSERT_TRUE(becomesReady());
    const auto callers = {connect(m_front), connect(m_front)};
    m_daemon->signal(SIGTERM);
    runFor(1s);
    for (const auto &caller : callers) {
        ASSERT_TRUE(caller);
        const bool isFirst = caller == *callers.begin();
        caller->send(std::string(isFirst ? "GET /g/1" : "GET /s/1")
                     + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-1\r\nDeadline-Ms: " + (isFirst ? "3000" : "2300")
                     + "\r\n\r\n");
    }
    for (const auto &caller : callers) {
        EXPECT_TRUE(runUntil([&]() { return caller->ended; }));
        EXPECT_TRUE(caller->received.starts_with("HTTP/1.1 50")) << caller->received;
    }
    EXPECT_GE(arrivals, 2) << "both were passed on";
    ASSERT_TRUE(runUntil([this]() { return m_daemon->exitStatus().has_value(); }));
    EXPECT_EQ(m_daemon->exitStatus(), 0);
}

/// The outcome of a rollout is written, and never replaced by another one, although responses of the store are lost.
TEST_F(daemon_test, HealthyRolloutIsWrittenAsCompleted)
{
    raw_server before(m_loop, answering("digest-a", record('b')));
    raw_server after(m_loop, answering("digest-a2", record('b')));
    m_store.putText("config", "main", sampleConfiguration);
    addReplica("i-a", "a", before);
    addReplica("i-a2", "a", after, "v2");
    m_store.putText("rollouts", "a", R"({"backend": "a", "target-version": "v2", "duration-s": 3})");
    startDaemon();
    ASSERT_TRUE(becomesReady());
    ASSERT_TRUE(runUntil([this]() { return rolloutState() == "running"; }));
    m_store.injectFault(store_fault::LosingResponses);
    ASSERT_TRUE(runUntil([this]() { return rolloutState() == "completed"; }));
    m_store.injectFault(store_fault::None);
    const std::string passed = sendRequest(m_front, "GET /s/1");
    EXPECT_NE(passed.find("Server-Stamp: digest-a2"), std::string::npos) << passed;
    runFor(2500ms); // Long enough for a second write to occur.
    EXPECT_EQ(rolloutState(), "completed");
}

/// A final state in the store is binding: a daemon that starts later neither shifts traffic nor writes another outcome.
TEST_F(daemon_test, RolledBackRolloutStaysRolledBack)
{
    raw_server before(m_loop, answering("digest-a", record('b')));
    raw_server after(m_loop, answering("digest-a2", record('b')));
    m_store.putText("config", "main", sampleConfiguration);
    addReplica("i-a", "a", before);
    addReplica("i-a2", "a", after, "v2");
    m_store.putText("rollouts", "a", R"({"backend": "a", "target-version": "v2", "duration-s": 1})");
    m_store.putStatus("rollouts", "a", {{"state", "rolled_back"}, {"target-version", "v2"}});
    startDaemon();
    ASSERT_TRUE(becomesReady());
    runFor(2500ms);
    EXPECT_EQ(rolloutState(), "rolled_back");
    for (int request = 0; request < 20; ++request) {
        EXPECT_NE(sendRequest(m_front, "GET /s/1").find("Server-Stamp: digest-a\r\n"), std::string::npos);
    }
}

TEST_F(daemon_test, ReloadsChangedSettingsWithAndWithoutSignal)
{
    m_store.putText("config", "main", sampleConfiguration);
    startDaemon();
    ASSERT_TRUE(becomesReady());
    ASSERT_TRUE(directoryTimeToLiveBecomes(1));
    m_daemon->rewriteSettings(settingsText(2));
    m_daemon->signal(SIGHUP);
    EXPECT_TRUE(directoryTimeToLiveBecomes(2));
    m_daemon->rewriteSettings("{ broken");
    m_daemon->signal(SIGHUP);
    runFor(200ms);
    EXPECT_TRUE(directoryTimeToLiveBecomes(2)) << "an invalid settings file must not change the settings";
    m_daemon->rewriteSettings(settingsText(1));
    EXPECT_TRUE(directoryTimeToLiveBecomes(1)) << "a changed settings file must be read without a signal";
}

TEST_F(daemon_test, ExitsWhenSettingsAreInvalid)
{
    daemon_process daemon(R"({"node-name": 5})");
    ASSERT_TRUE(runUntil([&]() { return daemon.exitStatus().has_value(); }));
    EXPECT_EQ(daemon.exitStatus(), 2);
}
