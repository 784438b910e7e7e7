#include "Support/LoopFixture.h"

#include <stdexcept>

using namespace std::chrono_literals;

namespace
{
class timer_queue_test : public loop_fixture
{
};
} // namespace

/// A task that throws must not stop all later timers of the process.
TEST_F(timer_queue_test, RunsLaterTasksAfterOneHasThrown)
{
    bool hasRun = false;
    const Core::time_point now = std::chrono::steady_clock::now();
    m_timers.schedule(now, [](Core::time_point) { throw std::runtime_error("a task fails"); });
    m_timers.schedule(now + 1ms, [&](Core::time_point) { hasRun = true; });
    EXPECT_THROW(runFor(50ms), std::runtime_error);
    EXPECT_TRUE(runUntil([&]() { return hasRun; }));
}
