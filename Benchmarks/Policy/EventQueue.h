#pragma once

#include "LibCore/Time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace Bench
{
/// Virtual time: runs events in order of their time, and of their arrival for equal times.
class event_queue
{
public:
    [[nodiscard]] Core::time_point now() const
    {
        return m_now;
    }

    void at(Core::time_point time, std::function<void()> action)
    {
        m_events.push_back({std::max(time, m_now), m_next++, std::move(action)});
        std::push_heap(m_events.begin(), m_events.end(), later);
    }

    void after(Core::duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }

    /// Runs everything that is due until `end`, which becomes the time.
    void runUntil(Core::time_point end)
    {
        while (!m_events.empty() && m_events.front().time <= end) {
            std::pop_heap(m_events.begin(), m_events.end(), later);
            const event next = std::move(m_events.back());
            m_events.pop_back();
            m_now = next.time;
            next.action();
        }
        m_now = end;
    }

private:
    struct event {
        Core::time_point time;
        std::uint64_t number = 0;
        std::function<void()> action;
    };
    static bool later(const event &left, const event &right)
    {
        return left.time != right.time ? left.time > right.time : left.number > right.number;
    }

    Core::time_point m_now {std::chrono::hours(1)};
    std::uint64_t m_next = 0;
    std::vector<event> m_events;
};
} // namespace Bench
