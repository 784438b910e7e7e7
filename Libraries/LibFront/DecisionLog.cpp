#include "LibFront/DecisionLog.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace Front
{
static constexpr double linesPerSecond = 20.0; ///< About 4 KB/s, which is small compared with the traffic itself.
static constexpr double burstLines = 100.0; ///< Allows logging a simultaneous change of many replicas completely.

decision_log::decision_log(std::string virtualMachine)
    : m_virtualMachine(std::move(virtualMachine))
    , m_tokens(burstLines)
    , m_refilledAt(std::chrono::steady_clock::now())
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void decision_log::refill()
{
    const Core::time_point now = std::chrono::steady_clock::now();
    m_tokens = std::min(burstLines, m_tokens + linesPerSecond * Core::toSeconds(now - m_refilledAt));
    m_refilledAt = now;
}

bool decision_log::admitLine()
{
    refill();
    if (m_tokens >= 1.0) {
        return true;
    }
    ++m_droppedLines;
    return false;
}

void decision_log::write(std::string_view event, boost::json::object fields)
{
    if (!admitLine()) {
        return;
    }
    m_tokens -= 1.0;
    writeLine(event, std::move(fields));
}

void decision_log::writeAlways(std::string_view event, boost::json::object fields)
{
    writeLine(event, std::move(fields));
}

void decision_log::writeLine(std::string_view event, boost::json::object fields)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    boost::json::object line {
        {"time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now).count()},
        {"vm", m_virtualMachine},
        {"event", event},
    };
    for (auto &field : fields) {
        line[field.key()] = std::move(field.value());
    }
    if (m_droppedLines > 0) {
        line["dropped_lines"] = m_droppedLines;
    }
    const std::string text = boost::json::serialize(line) + "\n";
    const ssize_t written = ::write(STDOUT_FILENO, text.data(), text.size());
    if (written == static_cast<ssize_t>(text.size())) {
        m_droppedLines = 0;
    } else {
        ++m_droppedLines;
    }
}
} // namespace Front
