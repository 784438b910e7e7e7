#include "Support/LoopFixture.h"

#include "LibExchange/FeedCodec.h"
#include "LibExchange/FeedEvents.h"
#include "LibExchange/FeedServer.h"

#include <optional>

using namespace std::chrono_literals;

namespace
{
class feed_server_test : public loop_fixture
{
protected:
    feed_server_test()
    {
        m_states["k"];
        m_server.setSource(true);
    }

    Front::abandon_function ask(std::uint64_t position, Core::duration wait)
    {
        Front::request_message request;
        request.target(Exchange::feedTarget({{"k", position}}, wait));
        return m_server.handle(request, [this](Front::answer answer) { m_answer = std::move(answer); });
    }

    void learn(std::uint64_t position, const std::string &name)
    {
        (void)Exchange::applyNews(m_states["k"], {"k", position, false, {{name, position, false, "content"}}, {}});
        m_server.noticeNews();
    }

    Exchange::feed_server::states m_states;
    Exchange::feed_server m_server {m_timers, m_states};
    std::optional<Front::answer> m_answer;
};
} // namespace

TEST_F(feed_server_test, QuestionWaitsForNews)
{
    (void)ask(0, 5s);
    runFor(20ms);
    EXPECT_FALSE(m_answer);
    learn(4, "a");
    ASSERT_TRUE(runUntil([this]() { return m_answer.has_value(); }));
    const auto news = Exchange::decodeFeed(m_answer->body);
    ASSERT_TRUE(news);
    EXPECT_EQ(news->at(0).position, 4U);
    EXPECT_EQ(news->at(0).entries.size(), 1U);
}

TEST_F(feed_server_test, KnownNewsIsAnsweredAtOnce)
{
    learn(4, "a");
    (void)ask(2, 5s);
    EXPECT_TRUE(m_answer);
}

TEST_F(feed_server_test, WaitEndsWithAnEmptyAnswer)
{
    learn(4, "a");
    (void)ask(4, 30ms);
    EXPECT_FALSE(m_answer);
    ASSERT_TRUE(runUntil([this]() { return m_answer.has_value(); }));
    EXPECT_EQ(m_answer->status, 200U);
    EXPECT_TRUE(Exchange::decodeFeed(m_answer->body)->at(0).entries.empty());
}

TEST_F(feed_server_test, DaemonThatLosesTheStoreSendsItsFollowersAway)
{
    (void)ask(0, 5s);
    m_server.setSource(false);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->status, 503U);
    m_answer.reset();
    (void)ask(0, 5s);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->status, 503U);
}

TEST_F(feed_server_test, FollowerThatLeavesIsForgotten)
{
    const auto abandon = ask(0, 20ms);
    abandon();
    learn(4, "a");
    runFor(100ms);
    EXPECT_FALSE(m_answer);
}

TEST_F(feed_server_test, UnreadableQuestionIsRefused)
{
    for (const char *target : {"/feed/x", "/feed/100/k/abc", "/feed/100/unknown/3", "/other"}) {
        m_answer.reset();
        Front::request_message request;
        request.target(target);
        (void)m_server.handle(request, [this](Front::answer answer) { m_answer = std::move(answer); });
        ASSERT_TRUE(m_answer) << target;
        EXPECT_EQ(m_answer->status / 100, 4U) << target;
    }
}
