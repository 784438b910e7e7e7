#pragma once

#include "LibPlatform/StoreClient.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

/// Periodically reads the platform's list of VMs on its own thread, since the store may be slow.
class vm_list_reader
{
public:
    /// `onList` is called with each copy of the list; `interval` returns the delay before the next read.
    vm_list_reader(const std::string &storeUrl, std::function<void(const std::string &)> onList,
                   std::function<Core::duration()> interval);
    ~vm_list_reader();
    vm_list_reader(const vm_list_reader &) = delete;
    vm_list_reader &operator=(const vm_list_reader &) = delete;

    void stop();

private:
    void run();

    Platform::store_client m_store;
    std::function<void(const std::string &)> m_onList;
    std::function<Core::duration()> m_interval;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false; ///< Guarded by m_mutex.
    std::thread m_thread;
};
