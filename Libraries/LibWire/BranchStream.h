#pragma once

#include <functional>
#include <memory>

namespace Wire
{
struct branch_answers;
struct branch_summary;

/// Sends the messages of one running branch to its root. All functions may be called from any thread. Messages sent
/// after the root has cancelled or disconnected, or after end(), are dropped.
class branch_stream
{
public:
    /// The connection that the stream writes to. Implemented by the peer network, and by fakes in tests.
    class target
    {
    public:
        virtual ~target() = default;
        virtual void send(branch_answers answers) = 0;
        virtual void end(const branch_summary &summary) = 0;
        virtual bool isCancelled() const = 0;
        virtual void onCancel(std::function<void()> handler) = 0;
    };

    explicit branch_stream(std::unique_ptr<target> destination);
    branch_stream(branch_stream &&) noexcept;
    branch_stream &operator=(branch_stream &&) noexcept;
    branch_stream(const branch_stream &) = delete;
    branch_stream &operator=(const branch_stream &) = delete;
    ~branch_stream();

    void send(branch_answers answers);
    /// Ends the branch. Destroying the stream without calling end() fails the root's call.
    void end(const branch_summary &summary);
    /// Whether the root has cancelled the branch or its connection has closed.
    bool isCancelled() const;
    /// Sets the handler that is called at most once, on the network's thread, when the root cancels the branch or its
    /// connection closes. If that has happened already, it is called immediately, on the calling thread. The handler
    /// must not block.
    void onCancel(std::function<void()> handler);

private:
    std::unique_ptr<target> m_target;
};
} // namespace Wire
