#pragma once

#include "Processes/LoadTally.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Processes
{
/// Callers that ask the system for its entry addresses, keep the answer for its time to live, and send queries one
/// after the other until stopped. Each answer is checked against what the stand-ins hold.
class caller_load
{
public:
    /// `daemons` are the addresses to ask for the entry list, tried in turn.
    caller_load(std::vector<std::string> daemons, std::string teamKey, int callers);
    ~caller_load();
    caller_load(const caller_load &) = delete;
    caller_load &operator=(const caller_load &) = delete;

    /// Ends the load after the queries that run, and returns what became of all of them.
    load_tally stop();
    /// Returns the tally since the last call of this function, or since the start.
    load_tally take();

private:
    void run(int caller);

    const std::vector<std::string> m_daemons;
    const std::string m_teamKey;
    std::atomic<bool> m_stopping {false};
    std::mutex m_mutex;
    load_tally m_tally; ///< Guarded by m_mutex.
    std::vector<std::thread> m_threads;
};
} // namespace Processes
