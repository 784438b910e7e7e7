#pragma once

#include "LibConfiguration/WatchState.h"
#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"
#include "LibPlatform/StoreClient.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace Configuration
{
struct watch_view;
}

struct daemon_state;

/// Keeps the configuration in force up to date with the platform's store, on its own thread.
class configuration_watcher
{
public:
    configuration_watcher(daemon_state &daemon, std::uint64_t seed);
    ~configuration_watcher();
    configuration_watcher(const configuration_watcher &) = delete;
    configuration_watcher &operator=(const configuration_watcher &) = delete;

    /// Interrupts the running store call and ends the thread.
    void stop();

private:
    void run();
    Configuration::watch_view view() const;
    bool callStore(const Configuration::watch_view &view);
    void waitFor(Core::duration wait, bool untilRankHoldsWatch);

    daemon_state &m_daemon;
    Platform::store_client m_store;
    Configuration::watch_state m_state;
    Core::random_engine m_random;
    std::string m_tag = "none"; ///< Tag of the stored document as last read.
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false; ///< Guarded by m_mutex.
    std::thread m_thread;
};
