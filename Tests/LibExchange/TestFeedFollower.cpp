#include "Support/LoopFixture.h"
#include "Support/RawServer.h"

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
                peer.send("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
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
                .onUpdates = [](const std::vector<Exchange::feed_update> &) { return true; },
                .onNoSource =
                    [this]() {
                        ++m_noSourceCount;
                    }};
    }

    std::list<raw_server> m_servers;
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
