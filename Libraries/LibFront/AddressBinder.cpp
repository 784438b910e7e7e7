#include "LibFront/AddressBinder.h"

#include <boost/asio/error.hpp>

#include <chrono>
#include <utility>

namespace Front
{
static constexpr Core::duration tryInterval = std::chrono::milliseconds(50);

address_binder::address_binder(timer_queue &timers)
    : m_timers(timers)
{
}

address_binder::~address_binder()
{
    stop();
}

void address_binder::start(Core::duration patience, bind_function bind, end_function onEnd)
{
    stop();
    m_bind = std::move(bind);
    m_onEnd = std::move(onEnd);
    m_giveUpAt = std::chrono::steady_clock::now() + patience;
    tryBind();
}

void address_binder::stop()
{
    if (m_nextTry) {
        m_timers.cancel(*std::exchange(m_nextTry, std::nullopt));
    }
}

void address_binder::tryBind()
{
    const boost::system::error_code error = m_bind();
    const Core::time_point next = std::chrono::steady_clock::now() + tryInterval;
    if (error != boost::asio::error::address_in_use || next > m_giveUpAt) {
        m_onEnd(error);
        return;
    }
    m_nextTry = m_timers.schedule(next, [this](Core::time_point) {
        m_nextTry.reset();
        tryBind();
    });
}
} // namespace Front
