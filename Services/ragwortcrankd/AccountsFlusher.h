#pragma once

#include "LibCore/Result.h"
#include "LibPlatform/StoreClient.h"
#include "LibTeams/TeamAccount.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>

struct daemon_state;

/// Periodically writes this daemon's accounts to the store on its own thread, and reads those of all daemons. If the VM
/// fails, the counts since its last write are lost.
class accounts_flusher
{
public:
    explicit accounts_flusher(daemon_state &daemon);
    ~accounts_flusher();
    accounts_flusher(const accounts_flusher &) = delete;
    accounts_flusher &operator=(const accounts_flusher &) = delete;

    /// Returns the accounts of all daemons as last read, and this daemon's own, as JSON. Schedules a new read if the
    /// last one is too old, but does not wait for it.
    std::string text();
    /// Writes the accounts a last time and ends the thread.
    void stop();

private:
    void run();
    void flush();
    Core::result<void> writePage(const std::map<std::string, Teams::team_account> &own);
    void readAll();

    daemon_state &m_daemon;
    Platform::store_client m_store; ///< Used only on the thread.
    std::map<std::string, Teams::team_account> m_written; ///< The accounts as last written successfully; thread only.
    /// The part of m_written that is already in the page's past totals; thread only.
    std::map<std::string, Teams::team_account> m_folded;
    std::chrono::steady_clock::time_point m_writtenAt; ///< Thread only.
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::string, Teams::team_account> m_totals; ///< Totals of all daemons; guarded by m_mutex.
    std::int64_t m_readAt = 0; ///< Time of the last read in seconds since the epoch, 0: never; guarded by m_mutex.
    bool m_readWanted = true; ///< Guarded by m_mutex.
    bool m_stopping = false; ///< Guarded by m_mutex.
    std::thread m_thread;
};
