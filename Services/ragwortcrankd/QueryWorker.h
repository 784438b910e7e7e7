#pragma once

#include "AttemptEnd.h"
#include "CancelledCall.h"
#include "HealthRequests.h"
#include "LibCore/RandomEngine.h"
#include "LibCore/Result.h"
#include "LibPlatform/HttpClient.h"
#include "OpenBranch.h"
#include "QueryTask.h"
#include "QueryTimer.h"
#include "WarmUpRequests.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Query
{
struct cancel_attempt;
struct query_effects;
struct send_attempt;
} // namespace Query

namespace Wire
{
struct branch_answers;
struct branch_request;
struct branch_summary;
} // namespace Wire

struct daemon_state;
struct running_query;

/// Runs queries on one thread: converts responses and timers into query events, and the effects of those events into
/// HTTP calls to replicas and branch calls to other daemons.
class query_worker
{
public:
    query_worker(daemon_state &daemon, std::uint64_t seed);
    ~query_worker();
    query_worker(const query_worker &) = delete;
    query_worker &operator=(const query_worker &) = delete;

    /// Enqueues a query. Thread-safe.
    void submit(query_task task);
    /// Ends the thread after all running queries have finished.
    void stop();

private:
    using attempt_key = std::pair<std::uint64_t, std::uint64_t>; ///< Query number and attempt number.

    void run();
    /// Enqueues an action to run on the worker's thread. Thread-safe.
    void post(std::function<void()> action);
    void runPosted();
    void startTask(query_task task);
    void fireTimers();
    void applyEffects(std::uint64_t query, Query::query_effects effects);
    void restart(std::uint64_t query);
    void finish(std::uint64_t query, Query::query_result result);

    void sendAll(std::uint64_t query, running_query &running, const std::vector<Query::send_attempt> &sends);
    void sendToReplica(std::uint64_t query, running_query &running, const Query::send_attempt &attempt,
                       std::string address, std::optional<Core::duration> maximumConnectionAge);
    void cancel(std::uint64_t query, running_query &running, const Query::cancel_attempt &attempt);
    void endAttempt(std::uint64_t query, std::uint64_t attempt, attempt_end end);
    [[nodiscard]] bool endCancelled(attempt_key key, const attempt_end &end);

    // Branch calls, on the root.
    void startBranch(std::uint64_t query, running_query &running, const std::string &peer,
                     const std::vector<const Query::send_attempt *> &sends);
    void onBranchAnswers(std::uint64_t branch, Wire::branch_answers answers);
    void endBranch(std::uint64_t branch, const Core::result<Wire::branch_summary> &end);
    void countRequests(open_branch &branch, std::uint32_t requests);
    void cancelUnneededBranches(running_query &running);
    void removeBranch(std::uint64_t branch);

    // Branches that this daemon runs for a root.
    void abandon(std::uint64_t query);
    void streamAnswer(std::uint64_t query, running_query &running, std::size_t shard, Query::shard_answer answer);
    void streamFailures(std::uint64_t query, running_query &running, const Query::query_effects &effects);
    void flushStreams();

    daemon_state &m_daemon;
    Core::random_engine m_random;
    /// Random part of attempt ids that keeps this worker's ids distinct from those of all other workers.
    const std::string m_attemptTag;
    Platform::http_client m_client;
    health_requests m_health;
    warm_up_requests m_warmUps;
    std::map<std::uint64_t, std::unique_ptr<running_query>> m_queries;
    std::map<attempt_key, cancelled_call> m_cancelled;
    std::map<std::uint64_t, open_branch> m_branches;
    /// Branches with partial results or failures not yet sent to their roots.
    std::vector<std::uint64_t> m_unsentStreams;
    std::uint64_t m_nextQuery = 1;
    std::uint64_t m_nextBranch = 1;
    struct expires_later {
        bool operator()(const query_timer &left, const query_timer &right) const
        {
            return left.at > right.at;
        }
    };
    std::priority_queue<query_timer, std::vector<query_timer>, expires_later> m_timers;
    std::mutex m_postedMutex;
    std::vector<std::function<void()>> m_posted; ///< Guarded by m_postedMutex.
    std::atomic<bool> m_stopping {false};
    std::thread m_thread;
};
