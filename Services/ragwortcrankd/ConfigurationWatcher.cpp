#include "ConfigurationWatcher.h"

#include "AdoptConfiguration.h"
#include "DaemonState.h"
#include "LibObservability/Log.h"

#include <optional>

static constexpr std::chrono::seconds storeTimeout {2};
static constexpr std::chrono::seconds longestWatch {2};
static constexpr std::chrono::milliseconds pauseAfterError {500};

configuration_watcher::configuration_watcher(daemon_state &daemon)
    : m_daemon(daemon)
    , m_store(daemon.daemonSettings.storeUrl, storeTimeout)
    , m_thread([this] { run(); })
{
}

configuration_watcher::~configuration_watcher()
{
    stop();
}

void configuration_watcher::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void configuration_watcher::run()
{
    std::string tag = "none";
    while (!m_stopping) {
        const auto changed = m_store.watch("configuration", tag, longestWatch);
        if (!changed) {
            Observability::logEvent(Observability::log_level::Warning, "store_watch_failed",
                                    {{"message", changed.error().message}});
            std::this_thread::sleep_for(pauseAfterError);
            continue;
        }
        if (changed.value()) {
            tag = changed.value()->tag;
            adoptConfiguration(m_daemon, changed.value()->body);
        }
    }
}
