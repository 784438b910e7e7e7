#include "DaemonFixture.h"

#include <boost/asio/ip/udp.hpp>

#include <csignal>

#include <fcntl.h>

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

    /// Returns a socket that is bound to a port of the daemon and that the daemon does not inherit.
    template<typename Socket> Socket occupy(int port)
    {
        Socket holder(m_loop, {boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)});
        EXPECT_EQ(fcntl(holder.native_handle(), F_SETFD, FD_CLOEXEC), 0);
        return holder;
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

/// A predecessor still holds an address when the daemon starts: the process exited with "Address already in use".
TEST_F(daemon_start_test, StartsWhenItsAddressesAreInUseForAMoment)
{
    m_store.putText("config", "main", sampleConfiguration);
    for (const int port : {m_front, m_ready, m_directory, m_control, m_peers}) {
        auto predecessor = occupy<boost::asio::ip::tcp::acceptor>(port);
        startDaemon();
        runFor(300ms);
        ASSERT_FALSE(m_daemon->exitStatus()) << port;
        predecessor.close();
        ASSERT_TRUE(becomesReady()) << port;
        m_daemon.reset();
    }
}

/// As above, for the datagrams between daemons.
TEST_F(daemon_start_test, StartsWhenItsDatagramPortIsInUseForAMoment)
{
    m_store.putText("config", "main", sampleConfiguration);
    auto predecessor = occupy<boost::asio::ip::udp::socket>(m_peers);
    startDaemon();
    runFor(300ms);
    ASSERT_FALSE(m_daemon->exitStatus());
    predecessor.close();
    EXPECT_TRUE(becomesReady());
}

/// An address that stays in use: the daemon is not ready, and a stop is obeyed meanwhile.
TEST_F(daemon_start_test, IsNotReadyWhileAnAddressIsInUse)
{
    m_store.putText("config", "main", sampleConfiguration);
    const auto predecessor = occupy<boost::asio::ip::tcp::acceptor>(m_directory);
    startDaemon();
    ASSERT_TRUE(runUntil([this]() { return sendRequest(m_ready, "GET /api/ready").starts_with("HTTP/1.1"); }));
    runFor(1s);
    EXPECT_TRUE(sendRequest(m_ready, "GET /api/ready").starts_with("HTTP/1.1 503"));
    m_daemon->signal(SIGTERM);
    ASSERT_TRUE(runUntil([this]() { return m_daemon->exitStatus().has_value(); }));
    EXPECT_EQ(m_daemon->exitStatus(), 0);
}
