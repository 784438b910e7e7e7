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

    std::list<raw_server> m_servers;
    int m_refusals = 0;
    int m_gaveUp = 0;
    Front::decision_log m_log {"test"};
    Exchange::feed_follower m_follower {m_loop,
                                        m_timers,
                                        m_log,
                                        {.positions =
                                             []() {
                                                 return std::map<std::string, std::uint64_t> {{"k", 1}};
                                             },
                                         .sources = [this]() { return sources(); },
                                         .onNews = [](const std::vector<Exchange::feed_kind> &) {},
                                         .onNoSource =
                                             [this]() {
                                                 ++m_gaveUp;
                                             }}};
};
} // namespace

TEST_F(feed_follower_test, GoesThroughAllSourcesAndGivesUp)
{
    m_follower.start();
    EXPECT_TRUE(runUntil([this]() { return m_gaveUp == 1; }));
    EXPECT_EQ(m_refusals, 8);
    EXPECT_FALSE(m_follower.isFollowing());
}
