#pragma once

#include <functional>
#include <memory>

namespace Wire
{
struct branch_answers;
struct branch_summary;

/// The way back to the root of one running branch. All functions may be called from any thread; what is sent after the
/// root has gone, or after the end, is dropped.
class branch_stream
{
public:
    /// The connection that the stream writes to. The peer network brings its own; tests bring fakes.
    class target
    {
    public:
        virtual ~target() = default;
        virtual void send(branch_answers answers) = 0;
        virtual void end(const branch_summary &summary) = 0;
        virtual bool isCancelled() const = 0;
        virtual void onCancel(std::function<void()> handler) = 0;
    };

    explicit branch_stream(std::unique_ptr<target> writesTo);
    branch_stream(branch_stream &&) noexcept;
    branch_stream &operator=(branch_stream &&) noexcept;
    branch_stream(const branch_stream &) = delete;
    branch_stream &operator=(const branch_stream &) = delete;
    ~branch_stream();

    void send(branch_answers answers);
    /// Ends the branch. A stream that is destroyed without an end fails the root's call.
    void end(const branch_summary &summary);
    /// Whether the root has cancelled or its connection has closed.
    bool isCancelled() const;
    /// Sets what is called, at most once, on the network's thread, when the root cancels or its connection closes.
    /// Called at once if that has happened. The handler must not block.
    void onCancel(std::function<void()> handler);

private:
    std::unique_ptr<target> m_target;
};
} // namespace Wire
