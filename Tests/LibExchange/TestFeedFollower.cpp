#include "Support/LoopFixture.h"
#include "Support/RawServer.h"

#include "LibExchange/FeedCodec.h"
#include "LibExchange/FeedFollower.h"
#include "LibFront/DecisionLog.h"

#include <list>

namespace
{
class feed_follower_test : public loop_fixture
{
protected:
    feed_follower_test()
    {
        for (int index = 0; index < 8; ++index) {
            m_servers.emplace_back(m_loop, [this](raw_connection &peer) {
                peer.received.clear();
                peer.send("HTTP/1.1 " + m_status + " X\r\nContent-Length: " + std::to_string(m_page.size()) + "\r\n\r\n"
                          + m_page);
                ++m_refusals;
            });
        }
    }

    std::vector<std::string> sources()
    {
        std::vector<std::string> addresses;
        for (const raw_server &server : m_servers) {
            addresses.push_back("127.0.0.1:" + std::to_string(server.address().port()));
        }
        return addresses;
    }

    Exchange::feed_follower::callbacks hooks()
    {
        return {.positions =
                    []() {
                        return std::map<std::string, Exchange::store_revision> {{"k", {0, 1}}};
                    },
                .sources = [this]() { return sources(); },
                .onUpdates =
                    [this](const std::vector<Exchange::feed_update> &) {
                        ++m_updateCount;
                        return m_isCurrent;
                    },
                .onNoSource =
                    [this]() {
                        ++m_noSourceCount;
                    }};
    }

    std::list<raw_server> m_servers;
    std::string m_status = "503";
    std::string m_page;
    bool m_isCurrent = true; ///< What the follower's owner says of its source.
    int m_updateCount = 0;
    int m_refusals = 0;
    int m_noSourceCount = 0;
    Front::decision_log m_log {"test"};
    std::list<Exchange::feed_follower>
        m_followers; ///< Followers of a test that starts several; must outlive the timers.
    Exchange::feed_follower m_follower {m_loop, m_timers, m_log, hooks()};
};
} // namespace

TEST_F(feed_follower_test, StopsWhenAllSourcesRefuse)
{
    m_follower.start();
    EXPECT_TRUE(runUntil([this]() { return m_noSourceCount == 1; }));
    EXPECT_EQ(m_refusals, 8);
    EXPECT_FALSE(m_follower.isFollowing());
}

/// Guards against a status outside of HTTP that counts as a response of a peer.
TEST_F(feed_follower_test, StatusOutsideOfTheProtocolLosesTheSource)
{
    m_page = Exchange::encodeFeed({{"k", {0, 5}, true, {}, {}}}, std::chrono::steady_clock::now());
    for (const char *status : {"000", "099", "600", "999"}) {
        m_status = status;
        m_refusals = 0;
        m_noSourceCount = 0;
        Exchange::feed_follower &follower = m_followers.emplace_back(m_loop, m_timers, m_log, hooks());
        follower.start();
        EXPECT_TRUE(runUntil([this]() { return m_noSourceCount == 1; })) << status;
        EXPECT_EQ(m_refusals, 8) << status;
    }
    EXPECT_EQ(m_updateCount, 0);
}

/// Guards against a daemon that has read the store after a restore and follows a source that serves an earlier era.
TEST_F(feed_follower_test, LeavesASourceThatIsNotCurrent)
{
    m_status = "200";
    m_page = Exchange::encodeFeed({{"k", {0, 5}, true, {}, {}}}, std::chrono::steady_clock::now());
    m_isCurrent = false;
    m_follower.start();
    EXPECT_TRUE(runUntil([this]() { return m_noSourceCount == 1; }));
    EXPECT_EQ(m_updateCount, 8);
}

/// A source refuses a request, and before the follower asks the next source, its owner switches the source because of
/// lag. The new source has already received a request then and must not get a second one on the same connection.
/// Between which handlers of the loop this happens depends on the loop, so the test switches after each of the first
/// handlers.
TEST_F(feed_follower_test, SendsOneRequestWhenSourceIsSwitchedAfterRefusal)
{
    constexpr int maximumHandlers = 60; // Asking all eight sources takes fewer.
    for (int handlers = 0; handlers <= maximumHandlers; ++handlers) {
        const int noSourceCountBefore = m_noSourceCount;
        Exchange::feed_follower &follower = m_followers.emplace_back(m_loop, m_timers, m_log, hooks());
        follower.start();
        m_loop.restart();
        for (int handler = 0; handler < handlers && follower.isFollowing(); ++handler) {
            m_loop.run_one_for(std::chrono::milliseconds(5));
        }
        follower.switchSource();
        EXPECT_TRUE(runUntil([&]() { return m_noSourceCount > noSourceCountBefore; })) << handlers;
    }
}
