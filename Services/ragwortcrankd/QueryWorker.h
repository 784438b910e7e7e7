#pragma once

#include "CancelledCall.h"
#include "LibCore/RandomEngine.h"
#include "LibPlatform/HttpClient.h"
#include "QueryTask.h"
#include "QueryTimer.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <thread>
#include <utility>
#include <vector>

namespace Query
{
struct cancel_attempt;
struct query_effects;
struct send_attempt;
} // namespace Query

struct daemon_state;
struct running_query;

/// Carries out queries on one thread: turns answers and timers into query events, and effects into HTTP calls.
class query_worker
{
public:
    query_worker(daemon_state &daemon, std::uint64_t seed);
    ~query_worker();
    query_worker(const query_worker &) = delete;
    query_worker &operator=(const query_worker &) = delete;

    /// Hands over a query; from any thread.
    void submit(query_task task);
    /// Ends the thread after the queries that run have finished.
    void stop();

private:
    void run();
    void takeTasks();
    void startTask(query_task task);
    void fireTimers();
    void carryOut(std::uint64_t query, Query::query_effects effects);
    void send(std::uint64_t query, running_query &running, const Query::send_attempt &attempt);
    void cancel(std::uint64_t query, running_query &running, const Query::cancel_attempt &attempt);
    void finishAttempt(std::uint64_t query, std::uint64_t attempt, const Platform::call_outcome &outcome);

    daemon_state &m_daemon;
    Core::random_engine m_random;
    Platform::http_client m_client;
    std::map<std::uint64_t, std::unique_ptr<running_query>> m_queries;
    std::map<std::pair<std::uint64_t, std::uint64_t>, cancelled_call> m_cancelled; ///< By query and attempt.
    std::uint64_t m_nextQuery = 1;
    struct later {
        bool operator()(const query_timer &left, const query_timer &right) const
        {
            return left.at > right.at;
        }
    };
    std::priority_queue<query_timer, std::vector<query_timer>, later> m_timers;
    std::mutex m_inboxMutex;
    std::vector<query_task> m_inbox; ///< Guarded by m_inboxMutex.
    std::atomic<bool> m_stopping {false};
    std::thread m_thread;
};
