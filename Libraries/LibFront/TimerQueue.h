#pragma once

#include "LibCore/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace Front
{
/// Multiplexes all timers of the event loop onto one operating system timer, which is rearmed only if an earlier task
/// is scheduled or after it has fired.
class timer_queue
{
public:
    using task = std::function<void(Core::time_point)>;
    using handle = std::multimap<Core::time_point, task>::iterator;

    explicit timer_queue(boost::asio::io_context &loop);

    /// Runs the task once, at `when` or shortly after.
    handle schedule(Core::time_point when, task callback);
    /// Removes a task that has not run yet.
    void cancel(handle scheduled);
    /// Returns the mean delay with which tasks ran since the last mean was returned; nothing if too few have run.
    [[nodiscard]] std::optional<Core::duration> takeMeanDelay();

private:
    void arm();
    void rearm();
    void runDueTasks();

    boost::asio::steady_timer m_timer;
    std::multimap<Core::time_point, task> m_tasks;
    Core::time_point m_armedFor = Core::time_point::max();
    Core::duration m_totalDelay {};
    std::int64_t m_delayCount = 0;
};
} // namespace Front
