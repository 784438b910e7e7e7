#include "LibWire/ServedBranch.h"

#include <utility>

namespace Wire
{
void served_branch::cancel()
{
    std::function<void()> handler;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_ended || m_cancelled) {
            return;
        }
        m_cancelled = true;
        handler = std::exchange(m_handler, nullptr);
    }
    if (handler) {
        handler();
    }
}

bool served_branch::end()
{
    std::function<void()> dropped;
    const std::scoped_lock lock(m_mutex);
    if (m_ended || m_cancelled) {
        return false;
    }
    m_ended = true;
    dropped = std::exchange(m_handler, nullptr);
    return true;
}

bool served_branch::isCancelled() const
{
    const std::scoped_lock lock(m_mutex);
    return m_cancelled;
}

bool served_branch::isOver() const
{
    const std::scoped_lock lock(m_mutex);
    return m_cancelled || m_ended;
}

void served_branch::onCancel(std::function<void()> handler)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_cancelled) {
            m_handler = m_ended ? nullptr : std::move(handler);
            return;
        }
    }
    handler();
}
} // namespace Wire
