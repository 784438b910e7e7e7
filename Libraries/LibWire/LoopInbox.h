#pragma once

#include <functional>
#include <mutex>
#include <vector>

namespace Wire
{
struct peer_loop;

/// Work that other threads hand to the network's thread. Shared by everything that may post, since streams and replies
/// may outlive the network.
class loop_inbox
{
public:
    using work = std::function<void(peer_loop &)>;

    loop_inbox();
    ~loop_inbox();
    loop_inbox(const loop_inbox &) = delete;
    loop_inbox &operator=(const loop_inbox &) = delete;

    /// Hands over work. Returns false, and does nothing, after close().
    bool post(work added);
    /// Takes what was posted, in order.
    std::vector<work> take();
    /// Refuses further work.
    void close();
    /// A file descriptor that becomes readable when work was posted; an eventfd.
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
