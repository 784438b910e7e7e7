#include "LibFront/HttpChannel.h"

#include "LibCore/Verify.h"
#include "LibFront/ReplicaConnection.h"

#include <chrono>
#include <utility>

namespace Front
{
http_channel::http_channel(boost::asio::io_context &loop, timer_queue &timers, boost::asio::ip::tcp::endpoint server)
    : m_loop(loop)
    , m_timers(timers)
    , m_server(std::move(server))
{
}

http_channel::~http_channel()
{
    if (m_timeout) {
        m_timers.cancel(*m_timeout);
    }
    if (m_connection) {
        m_connection->close();
    }
}

bool http_channel::isBusy() const
{
    return static_cast<bool>(m_onComplete);
}

void http_channel::call(std::string text, Core::duration timeout, std::function<void(exchange_result)> onComplete)
{
    VERIFY(!isBusy());
    const Core::time_point now = std::chrono::steady_clock::now();
    m_onComplete = std::move(onComplete);
    m_timeout = m_timers.schedule(now + timeout, [this](Core::time_point) {
        m_timeout.reset();
        onTimeout();
    });
    replica_exchange exchange;
    exchange.ticket = 1;
    exchange.makeText = [text = std::move(text)](Core::time_point) -> std::optional<std::string> {
        return text;
    };
    exchange.onComplete = [this](exchange_result result) {
        finish(std::move(result));
    };
    if (m_connection && m_connection->isUsable(false, now)) {
        m_connection->send(std::move(exchange), now);
        return;
    }
    if (m_connection) {
        m_connection->close();
    }
    m_connection = std::make_shared<replica_connection>(m_loop, m_timers, std::string(), []() {});
    m_connection->send(std::move(exchange), now);
    m_connection->connect(m_server);
}

void http_channel::onTimeout()
{
    m_connection->close();
    m_connection.reset();
    finish({});
}

void http_channel::finish(exchange_result result)
{
    if (m_timeout) {
        m_timers.cancel(*std::exchange(m_timeout, std::nullopt));
    }
    const auto onComplete = std::exchange(m_onComplete, nullptr);
    onComplete(std::move(result));
}
} // namespace Front
