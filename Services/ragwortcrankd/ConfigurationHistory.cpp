#include "ConfigurationHistory.h"

#include "AdoptConfiguration.h"
#include "DaemonState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibMembership/ConfigurationPropagation.h"
#include "LibObservability/Log.h"
#include "LibWire/ConfigurationReply.h"

#include <utility>

static constexpr std::size_t maximumTexts = 8;

configuration_history::configuration_history(daemon_state &daemon)
    : m_daemon(daemon)
{
}

void configuration_history::keepCurrent()
{
    const std::uint64_t number = m_daemon.configuration.current()->number;
    const std::scoped_lock lock(m_mutex);
    if (number == 0 || m_texts.contains(number)) {
        return;
    }
    std::string text = m_daemon.configuration.text();
    // The document may have changed between the two reads; in that case the next call stores it.
    if (m_daemon.configuration.current()->number == number) {
        m_texts[number] = std::move(text);
    }
    if (m_texts.size() > maximumTexts) {
        m_texts.erase(m_texts.begin());
    }
}

Wire::configuration_reply configuration_history::replyFor(std::uint64_t aboveNumber)
{
    keepCurrent();
    const std::scoped_lock lock(m_mutex);
    Wire::configuration_reply reply;
    if (m_texts.empty() || m_texts.rbegin()->first <= aboveNumber) {
        return reply;
    }
    const auto &[number, text] = *m_texts.rbegin();
    reply.number = number;
    reply.checksum = Membership::documentChecksum(text);
    const auto base = m_texts.find(aboveNumber);
    if (base != m_texts.end()) {
        const auto patch = Membership::makeMergePatch(base->second, text);
        if (patch) {
            reply.baseNumber = aboveNumber;
            reply.text = patch.value();
            return reply;
        }
    }
    reply.text = text;
    return reply;
}

bool configuration_history::adopt(const Wire::configuration_reply &reply)
{
    keepCurrent();
    std::string text = reply.text;
    if (reply.baseNumber != 0) {
        const std::scoped_lock lock(m_mutex);
        const auto base = m_texts.find(reply.baseNumber);
        if (base == m_texts.end()) {
            return false;
        }
        const auto patched = Membership::applyMergePatch(base->second, reply.text);
        if (!patched) {
            return false;
        }
        text = patched.value();
    }
    if (Membership::documentChecksum(text) != reply.checksum) {
        Observability::logEvent(Observability::log_level::Warning, "handed_on_configuration_differs",
                                {{"number", reply.number}});
        return false;
    }
    adoptConfiguration(m_daemon, text);
    return true;
}
