#include "ConfigurationWatcher.h"

#include "AdoptConfiguration.h"
#include "DaemonState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibConfiguration/WatchPlan.h"
#include "LibConfiguration/WatchView.h"
#include "LibObservability/Log.h"
#include "NumbersInForce.h"

#include <algorithm>
#include <optional>

static constexpr std::chrono::seconds storeTimeout {2};
/// How often a VM that does not watch the store checks whether its rank now makes it a watcher.
static constexpr std::chrono::milliseconds rankCheckInterval {500};

configuration_watcher::configuration_watcher(daemon_state &daemon, std::uint64_t seed)
    : m_daemon(daemon)
    , m_store(daemon.daemonSettings.storeUrl, storeTimeout)
    , m_random(seed)
    , m_thread([this] { run(); })
{
}

configuration_watcher::~configuration_watcher()
{
    stop();
}

void configuration_watcher::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
        m_wake.notify_one();
    }
    m_store.interrupt();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

Configuration::watch_view configuration_watcher::view() const
{
    Configuration::watch_view view;
    view.rank = m_daemon.hooks.watchRank ? m_daemon.hooks.watchRank() : 0;
    view.liveMembers = numbersInForce(m_daemon).size();
    view.numberInForce = m_daemon.configuration.current()->number;
    return view;
}

bool configuration_watcher::callStore(const Configuration::watch_view &view)
{
    const Core::duration maximumWatch =
        Configuration::holdsWatch(view) ? Core::duration(Configuration::maximumWatchDuration) : Core::duration::zero();
    const auto changed = m_store.watch("configuration", m_tag, maximumWatch);
    if (!changed) {
        Observability::logEvent(Observability::log_level::Warning, "store_watch_failed",
                                {{"message", changed.error().message}});
        return false;
    }
    if (changed.value()) {
        m_tag = changed.value()->tag;
        adoptConfiguration(m_daemon, changed.value()->body);
    }
    return true;
}

void configuration_watcher::waitFor(Core::duration wait, bool untilRankHoldsWatch)
{
    const Core::time_point until = std::chrono::steady_clock::now() + wait;
    std::unique_lock lock(m_mutex);
    while (!m_stopping && std::chrono::steady_clock::now() < until) {
        const Core::time_point next =
            std::min<Core::time_point>(until, std::chrono::steady_clock::now() + rankCheckInterval);
        m_wake.wait_until(lock, next, [this] { return m_stopping; });
        lock.unlock();
        const bool holdsWatch = Configuration::holdsWatch(view());
        lock.lock();
        if (untilRankHoldsWatch && holdsWatch) {
            return;
        }
    }
}

void configuration_watcher::run()
{
    while (true) {
        {
            const std::scoped_lock lock(m_mutex);
            if (m_stopping) {
                return;
            }
        }
        const Configuration::watch_view before = view();
        const bool succeeded = callStore(before);
        const Configuration::watch_view after = view();
        const Core::duration wait = succeeded ? Configuration::delayAfterSuccess(m_state, after, m_random)
                                              : Configuration::delayAfterFailure(m_state, after, m_random);
        waitFor(wait, succeeded);
    }
}
