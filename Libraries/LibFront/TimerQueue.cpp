#include "LibFront/TimerQueue.h"

#include <utility>

namespace Front
{
timer_queue::timer_queue(boost::asio::io_context &loop)
    : m_timer(loop)
{
}

timer_queue::handle timer_queue::schedule(Core::time_point when, task callback)
{
    const handle scheduled = m_tasks.emplace(when, std::move(callback));
    if (when < m_armedFor) {
        arm();
    }
    return scheduled;
}

void timer_queue::cancel(handle scheduled)
{
    m_tasks.erase(scheduled);
}

std::optional<Core::duration> timer_queue::takeMeanDelay()
{
    constexpr std::int64_t minimumCount = 8; // Fewer are not significant.
    if (m_delayCount < minimumCount) {
        return std::nullopt;
    }
    const Core::duration mean = m_totalDelay / m_delayCount;
    m_totalDelay = {};
    m_delayCount = 0;
    return mean;
}

void timer_queue::rearm()
{
    m_armedFor = Core::time_point::max();
    arm();
}

void timer_queue::arm()
{
    if (m_tasks.empty()) {
        return;
    }
    m_armedFor = m_tasks.begin()->first;
    m_timer.expires_at(m_armedFor);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        // Rearming the timer aborts the previous wait.
        if (!error) {
            runDueTasks();
        }
    });
}

void timer_queue::runDueTasks()
{
    const Core::time_point now = std::chrono::steady_clock::now();
    while (!m_tasks.empty() && m_tasks.begin()->first <= now) {
        const task callback = std::move(m_tasks.begin()->second);
        m_totalDelay += now - m_tasks.begin()->first;
        ++m_delayCount;
        m_tasks.erase(m_tasks.begin());
        try {
            callback(now);
        } catch (...) {
            rearm();
            throw;
        }
    }
    rearm();
}
} // namespace Front
