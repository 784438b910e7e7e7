#pragma once

#include <functional>
#include <mutex>
#include <vector>

namespace Wire
{
struct peer_loop;

/// Queue of the work items that other threads submit to the network's thread. Ownership is shared by all posters, since
/// streams and reply callbacks may outlive the network.
class loop_inbox
{
public:
    using work = std::function<void(peer_loop &)>;

    loop_inbox();
    ~loop_inbox();
    loop_inbox(const loop_inbox &) = delete;
    loop_inbox &operator=(const loop_inbox &) = delete;

    /// Queues a work item. Returns false, without queuing it, after close().
    bool post(work item);
    /// Removes and returns all queued work items, in the order in which they were posted.
    std::vector<work> take();
    /// Rejects all later posts.
    void close();
    /// Returns an eventfd that becomes readable when work is posted.
    int descriptor() const
    {
        return m_descriptor;
    }

private:
    int m_descriptor;
    std::mutex m_mutex;
    std::vector<work> m_work; ///< Guarded by m_mutex.
    bool m_closed = false; ///< Guarded by m_mutex.
};
} // namespace Wire
