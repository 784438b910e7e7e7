#pragma once

#include "LibCore/Time.h"
#include "LibFront/TimerQueue.h"

#include <boost/system/error_code.hpp>

#include <functional>
#include <optional>

namespace Front
{
/// Binds a socket to an address as soon as the address is free. It may be in use for a moment: by a predecessor that
/// finishes its requests, or by an outgoing connection that was given the port as its local one.
class address_binder
{
public:
    /// Tries to bind the socket once.
    using bind_function = std::function<boost::system::error_code()>;
    /// Receives the error of the last try; no error if the socket is bound.
    using end_function = std::function<void(const boost::system::error_code &)>;

    explicit address_binder(timer_queue &timers);
    ~address_binder();
    address_binder(const address_binder &) = delete;
    address_binder &operator=(const address_binder &) = delete;

    /// Tries at once, and while the address is in use again until `patience` is over. `onEnd` is called once, possibly
    /// before this function returns.
    void start(Core::duration patience, bind_function bind, end_function onEnd);
    /// Ends the tries without calling `onEnd`.
    void stop();

private:
    void tryBind();

    timer_queue &m_timers;
    bind_function m_bind;
    end_function m_onEnd;
    Core::time_point m_giveUpAt;
    std::optional<timer_queue::handle> m_nextTry;
};
} // namespace Front
