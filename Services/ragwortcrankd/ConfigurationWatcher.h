#pragma once

#include "LibPlatform/StoreClient.h"

#include <atomic>
#include <thread>

struct daemon_state;

/// Keeps the configuration in force up to date from the platform's store, on a thread of its own.
class configuration_watcher
{
public:
    explicit configuration_watcher(daemon_state &daemon);
    ~configuration_watcher();
    configuration_watcher(const configuration_watcher &) = delete;
    configuration_watcher &operator=(const configuration_watcher &) = delete;

    /// Ends the thread within one watch.
    void stop();

private:
    void run();

    daemon_state &m_daemon;
    Platform::store_client m_store;
    std::atomic<bool> m_stopping {false};
    std::thread m_thread;
};
