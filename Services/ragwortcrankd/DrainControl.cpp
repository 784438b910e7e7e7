#include "DrainControl.h"

#include "LibPlatform/HttpResponse.h"
#include "LibWire/BranchAnswers.h"
#include "LibWire/BranchSummary.h"

#include <memory>
#include <utility>

namespace
{
class counted_connection : public Platform::http_responder::connection
{
public:
    counted_connection(drain_control &control, Platform::http_responder inner)
        : m_control(control)
        , m_inner(std::move(inner))
    {
        m_control.begin();
    }
    ~counted_connection() override
    {
        m_control.end();
    }
    counted_connection(const counted_connection &) = delete;
    counted_connection &operator=(const counted_connection &) = delete;

    void send(const Platform::http_response &response) override
    {
        m_inner.respond(response);
    }

private:
    drain_control &m_control;
    Platform::http_responder m_inner;
};

class counted_target : public Wire::branch_stream::target
{
public:
    counted_target(drain_control &control, Wire::branch_stream inner)
        : m_control(control)
        , m_inner(std::move(inner))
    {
        m_control.begin();
    }
    ~counted_target() override
    {
        m_control.end();
    }
    counted_target(const counted_target &) = delete;
    counted_target &operator=(const counted_target &) = delete;

    void send(Wire::branch_answers answers) override
    {
        m_inner.send(std::move(answers));
    }
    void end(const Wire::branch_summary &summary) override
    {
        m_inner.end(summary);
    }
    bool isCancelled() const override
    {
        return m_inner.isCancelled();
    }
    void onCancel(std::function<void()> handler) override
    {
        m_inner.onCancel(std::move(handler));
    }

private:
    drain_control &m_control;
    Wire::branch_stream m_inner;
};
} // namespace

Platform::http_responder drain_control::count(Platform::http_responder responder)
{
    return Platform::http_responder(std::make_unique<counted_connection>(*this, std::move(responder)));
}

Wire::branch_stream drain_control::count(Wire::branch_stream stream)
{
    return Wire::branch_stream(std::make_unique<counted_target>(*this, std::move(stream)));
}

void drain_control::begin()
{
    const std::scoped_lock lock(m_mutex);
    ++m_running;
}

void drain_control::end()
{
    const std::scoped_lock lock(m_mutex);
    --m_running;
    m_lastEnd = std::chrono::steady_clock::now();
}

bool drain_control::isQuiet(Core::duration quiet) const
{
    const std::scoped_lock lock(m_mutex);
    return m_running == 0 && std::chrono::steady_clock::now() - m_lastEnd >= quiet;
}

int drain_control::running() const
{
    const std::scoped_lock lock(m_mutex);
    return m_running;
}
