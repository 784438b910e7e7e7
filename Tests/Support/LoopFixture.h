#pragma once

#include "LibFront/TimerQueue.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <functional>

/// An event loop that a test runs until something has happened.
class loop_fixture : public testing::Test
{
protected:
    /// Returns whether the condition came true within some seconds.
    bool runUntil(const std::function<bool()> &condition)
    {
        constexpr std::chrono::seconds patience {10}; // Far longer than any step takes, so that load fails no test.
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_loop.restart();
            m_loop.run_for(std::chrono::milliseconds(5));
        }
        return condition();
    }

    void runFor(std::chrono::milliseconds time)
    {
        m_loop.restart();
        m_loop.run_for(time);
    }

    boost::asio::io_context m_loop {1};
    Front::timer_queue m_timers {m_loop};
};
