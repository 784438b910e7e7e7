#pragma once

#include "LibConfiguration/PatchAnswer.h"
#include "LibConfiguration/PatchRequest.h"
#include "LibPlatform/StoreClient.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

struct daemon_state;

/// Writes operators' patches to the platform's store, one at a time, on its own thread.
class patch_writer
{
public:
    using completion = std::function<void(const Configuration::patch_answer &)>;

    explicit patch_writer(daemon_state &daemon);
    ~patch_writer();
    patch_writer(const patch_writer &) = delete;
    patch_writer &operator=(const patch_writer &) = delete;

    /// Enqueues a patch. Thread-safe; the completion runs on the writer's thread. The id of a patch that the daemon
    /// generates may lack a leading number, as in rollout-search-3-done; the base number is then prepended.
    void submit(Configuration::patch_request request, completion done);
    void stop();

private:
    void run();
    Configuration::patch_answer write(const Configuration::patch_request &request);

    daemon_state &m_daemon;
    Platform::store_client m_store;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<std::pair<Configuration::patch_request, completion>> m_inbox; ///< Guarded by m_mutex.
    bool m_stopping = false; ///< Guarded by m_mutex.
    std::thread m_thread;
};
