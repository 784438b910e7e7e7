#include "Support/LoopFixture.h"

#include "LibFront/AddressBinder.h"

#include <boost/asio/error.hpp>

using namespace std::chrono_literals;

namespace
{
class address_binder_test : public loop_fixture
{
protected:
    void start(Core::duration patience)
    {
        m_binder.start(
            patience,
            [this]() {
                ++m_tries;
                return m_error;
            },
            [this](const boost::system::error_code &error) { m_result = error; });
    }

    Front::address_binder m_binder {m_timers};
    boost::system::error_code m_error;
    std::optional<boost::system::error_code> m_result;
    int m_tries = 0;
};
} // namespace

TEST_F(address_binder_test, TriesAgainWhileTheAddressIsInUse)
{
    m_error = boost::asio::error::address_in_use;
    start(10s);
    ASSERT_TRUE(runUntil([this]() { return m_tries >= 3; }));
    EXPECT_FALSE(m_result);
    m_error = {};
    ASSERT_TRUE(runUntil([this]() { return m_result.has_value(); }));
    EXPECT_FALSE(*m_result);
}

TEST_F(address_binder_test, ReportsOtherErrorsAtOnce)
{
    m_error = boost::asio::error::access_denied;
    start(10s);
    ASSERT_TRUE(m_result);
    EXPECT_EQ(*m_result, boost::asio::error::access_denied);
    EXPECT_EQ(m_tries, 1);
}

TEST_F(address_binder_test, GivesUpWhenThePatienceIsOver)
{
    m_error = boost::asio::error::address_in_use;
    start(200ms);
    ASSERT_TRUE(runUntil([this]() { return m_result.has_value(); }));
    EXPECT_EQ(*m_result, boost::asio::error::address_in_use);
    EXPECT_GT(m_tries, 1);
}

TEST_F(address_binder_test, StopEndsTheTries)
{
    m_error = boost::asio::error::address_in_use;
    start(10s);
    m_binder.stop();
    runFor(120ms);
    EXPECT_EQ(m_tries, 1);
    EXPECT_FALSE(m_result);
}
