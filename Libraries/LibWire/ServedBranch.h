#pragma once

#include <functional>
#include <mutex>

namespace Wire
{
/// State shared by the network's thread and the stream of one branch: whether the branch has ended or was cancelled.
/// All functions may be called from any thread.
class served_branch
{
public:
    /// Marks the branch as cancelled and calls the handler, unless the branch has ended or was cancelled before.
    void cancel();
    /// Marks the branch as ended; returns false if it had ended or was cancelled.
    bool end();
    bool isCancelled() const;
    bool isOver() const;
    void onCancel(std::function<void()> handler);

private:
    mutable std::mutex m_mutex;
    bool m_cancelled = false; ///< Guarded by m_mutex.
    bool m_ended = false; ///< Guarded by m_mutex.
    std::function<void()> m_handler; ///< Guarded by m_mutex.
};
} // namespace Wire
