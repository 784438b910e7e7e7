#include "DaemonFixture.h"

#include <csignal>

using namespace std::chrono_literals;

namespace
{
class daemon_start_test : public daemon_test
{
protected:
    /// Starts a daemon and sends it a signal before it has read its settings.
    void startWithSignal(int number)
    {
        m_store.putText("config", "main", sampleConfiguration);
        m_daemon = std::make_unique<daemon_process>("", "/dev/null", settings_delivery::OnRequest);
        ASSERT_TRUE(m_daemon->isReadingSettings());
        m_daemon->signal(number);
        runFor(100ms);
        ASSERT_FALSE(m_daemon->exitStatus());
        m_daemon->deliverSettings(settingsText(1));
    }
};
} // namespace

/// A signal that arrives while the process starts took its default action and ended the process.
TEST_F(daemon_start_test, ReloadSignalBeforeHandlersAreInstalledDoesNotEndTheProcess)
{
    startWithSignal(SIGHUP);
    EXPECT_TRUE(becomesReady());
    EXPECT_FALSE(m_daemon->exitStatus());
}

/// As above: the process was ended by the signal instead of stopping as planned.
TEST_F(daemon_start_test, StopSignalBeforeHandlersAreInstalledStopsTheDaemonAsPlanned)
{
    startWithSignal(SIGTERM);
    ASSERT_TRUE(runUntil([this]() { return m_daemon->exitStatus().has_value(); }));
    EXPECT_EQ(m_daemon->exitStatus(), 0);
}
