#pragma once

#include "LibCore/Result.h"

#include <functional>
#include <utility>

namespace Wire
{
/// Holds a call's completion and ensures that it runs exactly once, unless it is discarded. Destroying the guard of an
/// unfinished call completes the call with an Unavailable error.
template<typename Value> class call_guard
{
public:
    using completion = std::function<void(Core::result<Value>)>;

    explicit call_guard(completion done)
        : m_done(std::move(done))
    {
    }
    ~call_guard()
    {
        finish(Core::error {Core::error_code::Unavailable, "the peer network has stopped"});
    }
    call_guard(const call_guard &) = delete;
    call_guard &operator=(const call_guard &) = delete;

    void finish(Core::result<Value> outcome)
    {
        if (m_done) {
            std::exchange(m_done, nullptr)(std::move(outcome));
        }
    }
    /// Discards the completion without running it, since the call was cancelled by its initiator.
    void dismiss()
    {
        m_done = nullptr;
    }

private:
    completion m_done;
};
} // namespace Wire
