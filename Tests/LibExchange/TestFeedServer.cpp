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

    Front::abandon_function sendRequest(std::uint64_t position, Core::duration wait,
                                        std::optional<std::uint32_t> era = std::nullopt)
    {
        Front::request_message request;
        request.target(Exchange::feedTarget({{"k", {0, position}}}, wait));
        if (era) {
            request.set(Exchange::feedErasHeader, Exchange::feedErasText({{"k", {*era, position}}}));
        }
        return m_server.handle(request, [this](Front::answer answer) { m_answer = std::move(answer); });
    }

    void applyChange(std::uint64_t position, const std::string &name, std::uint32_t era = 0)
    {
        (void)Exchange::applyUpdate(m_states["k"],
                                    {"k", {era, position}, false, {{name, {era, position}, false, "content"}}, {}});
        m_server.notifyWaiting();
    }

    Exchange::feed_server::states m_states;
    Exchange::feed_server m_server {m_timers, m_states};
    std::optional<Front::answer> m_answer;
};
} // namespace

TEST_F(feed_server_test, RequestWaitsForChange)
{
    (void)sendRequest(0, 5s);
    runFor(20ms);
    EXPECT_FALSE(m_answer);
    applyChange(4, "a");
    ASSERT_TRUE(runUntil([this]() { return m_answer.has_value(); }));
    const auto updates = Exchange::decodeFeed(m_answer->body, std::chrono::steady_clock::now());
    ASSERT_TRUE(updates);
    EXPECT_EQ(updates->at(0).position.number, 4U);
    EXPECT_EQ(updates->at(0).entries.size(), 1U);
}

TEST_F(feed_server_test, RespondsAtOnceWhenChangeIsAvailable)
{
    applyChange(4, "a");
    (void)sendRequest(2, 5s);
    EXPECT_TRUE(m_answer);
}

TEST_F(feed_server_test, RespondsWithoutEntriesWhenWaitElapses)
{
    applyChange(4, "a");
    (void)sendRequest(4, 30ms);
    EXPECT_FALSE(m_answer);
    ASSERT_TRUE(runUntil([this]() { return m_answer.has_value(); }));
    EXPECT_EQ(m_answer->status, 200U);
    EXPECT_TRUE(Exchange::decodeFeed(m_answer->body, std::chrono::steady_clock::now())->at(0).entries.empty());
}

TEST_F(feed_server_test, RefusesRequestsWhenNotASource)
{
    (void)sendRequest(0, 5s);
    m_server.setSource(false);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->status, 503U);
    m_answer.reset();
    (void)sendRequest(0, 5s);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->status, 503U);
}

TEST_F(feed_server_test, AbandonedRequestIsNotAnswered)
{
    const auto abandon = sendRequest(0, 20ms);
    abandon();
    applyChange(4, "a");
    runFor(100ms);
    EXPECT_FALSE(m_answer);
}

/// A daemon that has not noticed yet that the store was restored is no source for one that has.
TEST_F(feed_server_test, RefusesFollowerThatHasReadALaterEra)
{
    applyChange(40, "a", 1);
    (void)sendRequest(4, 5s, 2);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->status, 503U);
}

TEST_F(feed_server_test, FollowerOfAnEarlierEraLearnsOfTheRestoreAtOnce)
{
    applyChange(4, "a", 2);
    (void)sendRequest(40, 5s, 1);
    ASSERT_TRUE(m_answer);
    const auto updates = Exchange::decodeFeed(m_answer->body, std::chrono::steady_clock::now());
    ASSERT_TRUE(updates);
    EXPECT_EQ(updates->at(0).position, (Exchange::store_revision {2, 4}));
}

/// Daemons of an earlier version compare the numbers alone. They must be served without a response for each request.
TEST_F(feed_server_test, FollowerThatStatesNoEraWaitsForChanges)
{
    applyChange(40, "a", 3);
    (void)sendRequest(40, 5s);
    EXPECT_FALSE(m_answer);
    applyChange(41, "b", 3);
    ASSERT_TRUE(runUntil([this]() { return m_answer.has_value(); }));
    EXPECT_EQ(Exchange::decodeFeed(m_answer->body, std::chrono::steady_clock::now())->at(0).entries.size(), 1U);
}

TEST_F(feed_server_test, MalformedErasAreRefused)
{
    Front::request_message request;
    request.target("/feed/100/k/3");
    request.set(Exchange::feedErasHeader, "x");
    (void)m_server.handle(request, [this](Front::answer answer) { m_answer = std::move(answer); });
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->status, 400U);
}

TEST_F(feed_server_test, MalformedTargetIsRefused)
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
