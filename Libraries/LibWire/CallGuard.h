#pragma once

#include "LibCore/Result.h"

#include <functional>
#include <utility>

namespace Wire
{
/// Holds a call's completion and sees to it that it runs exactly once: a call that is dropped fails as unavailable.
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
    /// Forgets the completion, for a call that the caller cancelled.
    void silence()
    {
        m_done = nullptr;
    }

private:
    completion m_done;
};
} // namespace Wire
