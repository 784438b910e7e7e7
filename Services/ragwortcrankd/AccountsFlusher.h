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

/// Writes this daemon's accounts to the store now and then, on a thread of its own, and reads those of all daemons. A
/// VM that is lost forgets what it counted since its last write.
class accounts_flusher
{
public:
    explicit accounts_flusher(daemon_state &daemon);
    ~accounts_flusher();
    accounts_flusher(const accounts_flusher &) = delete;
    accounts_flusher &operator=(const accounts_flusher &) = delete;

    /// The accounts of all daemons as last read, and this daemon's own, as JSON. Asks for a newer reading; never waits.
    std::string text();
    /// Writes once more and ends the thread.
    void stop();

private:
    void run();
    void flush();
    Core::result<void> writePage(const std::map<std::string, Teams::team_account> &own);
    void readAll();

    daemon_state &m_daemon;
    Platform::store_client m_store; ///< Used on the thread only.
    std::map<std::string, Teams::team_account> m_written; ///< What the store certainly holds; thread only.
    std::map<std::string, Teams::team_account> m_folded; ///< What the page's past holds of it; thread only.
    std::chrono::steady_clock::time_point m_writtenAt; ///< Thread only.
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::string, Teams::team_account> m_totals; ///< Of all daemons; guarded by m_mutex.
    std::int64_t m_readAt = 0; ///< Seconds since the epoch, 0: never; guarded by m_mutex.
    bool m_readWanted = true; ///< Guarded by m_mutex.
    bool m_stopping = false; ///< Guarded by m_mutex.
    std::thread m_thread;
};
