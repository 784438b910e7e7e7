#pragma once

#include "LibBackend/FailedAttempt.h"
#include "LibBackend/ServiceState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibCore/RandomEngine.h"
#include "LibQuery/QueryEffects.h"
#include "LibQuery/QueryState.h"
#include "Policy/DriverSettings.h"
#include "Policy/EventQueue.h"
#include "Policy/FakeReplica.h"
#include "Policy/QueryRecord.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Query
{
enum class cancelled_attempt_end;
}

namespace Bench
{
/// Feeds LibQuery and LibBackend for several daemons, each with its own service state, on virtual time. It does what
/// the daemon's workers do: carries out effects on fake replicas and hands what comes back to the same functions.
/// The document must hold one service, "search".
class query_driver
{
public:
    query_driver(const Configuration::configuration_document &document, driver_settings settings,
                 const fake_replica_settings &replicaSettings);

    event_queue events;

    /// Puts a newer document in force at every daemon.
    void apply(const Configuration::configuration_document &document);
    /// Puts a newer document in force at one daemon after the other, the last one after `longest`.
    void applyGradually(const Configuration::configuration_document &document, Core::duration longest);
    /// Sends queries at random times at the rate, to the daemons in turn, until `end`. Scenarios may call it again.
    void offer(double queriesPerSecond, Core::time_point end);
    /// Sends one query now.
    void submit(std::size_t daemon);
    /// Makes this part of the open connections silent: requests on them are never answered.
    void silenceConnections(double part);

    [[nodiscard]] fake_replica &replica(const std::string &name)
    {
        return *m_replicas.at(name);
    }
    [[nodiscard]] const std::map<std::string, std::unique_ptr<fake_replica>> &replicas() const
    {
        return m_replicas;
    }
    [[nodiscard]] Backend::service_state &service(std::size_t daemon)
    {
        return m_services[daemon];
    }

    std::vector<query_record> records; ///< The finished queries, in the order of their ends.
    std::uint64_t firstRequests = 0; ///< One for each shard that was asked.
    std::uint64_t shardRequests = 0; ///< All that were sent.
    std::uint64_t connectFailures = 0; ///< Of those, the ones that never reached a replica.

    /// Extra requests by hedges and retries, as part of the first ones.
    [[nodiscard]] double extraLoad() const;

private:
    struct connection_pool {
        std::uint32_t idle = 0;
        std::uint32_t idleSilent = 0;
    };
    struct cancelled_attempt {
        std::size_t daemon = 0;
        Query::cancel_attempt attempt;
    };
    struct driven_query {
        std::size_t daemon = 0;
        Query::query_state state;
        Core::time_point startedAt;
        std::set<std::size_t> trulyAnswered; ///< Shards for which a right answer reached the daemon.
        std::uint64_t timerGeneration = 0;
        std::unique_ptr<Backend::service_state> ownService; ///< For the baseline that remembers nothing.
    };

    void scheduleNext(double queriesPerSecond, Core::time_point end);
    [[nodiscard]] Query::query_plan makePlan();
    [[nodiscard]] Backend::service_state &serviceOf(driven_query &query);
    [[nodiscard]] Core::duration delayTo(std::size_t daemon, const Backend::replica_state &replica) const;
    void carryOut(std::uint64_t number, Query::query_effects effects);
    void send(std::uint64_t number, const Query::send_attempt &attempt);
    /// Sends a copy of a first request to a cold replica of its shard, if the policy takes one.
    void sendWarmUp(const driven_query &query, std::size_t shard);
    void endWarmUp(std::size_t daemon, std::size_t replica, Core::duration latency, const fake_reply &reply);
    void receive(std::uint64_t number, const Query::send_attempt &attempt, const fake_reply &reply);
    void fail(std::uint64_t number, std::uint64_t attempt, Backend::attempt_failure failure);
    void cancel(std::uint64_t number, const Query::cancel_attempt &attempt);
    [[nodiscard]] bool endCancelled(std::uint64_t key, Query::cancelled_attempt_end end);
    void wake(std::uint64_t number, std::uint64_t generation);
    void finish(std::uint64_t number, const Query::query_result &result);
    /// What the codec makes of a refusal: the kind, and what the replica says of itself.
    [[nodiscard]] static Backend::failed_attempt failedAttempt(const fake_reply &reply);
    [[nodiscard]] static std::uint64_t attemptKey(std::uint64_t number, std::uint64_t attempt);

    driver_settings m_settings;
    Configuration::configuration_document m_document;
    Core::random_engine m_random;
    std::vector<Backend::service_state> m_services;
    std::map<std::string, std::unique_ptr<fake_replica>> m_replicas;
    std::map<std::pair<std::size_t, std::string>, connection_pool> m_connections;
    std::map<std::uint64_t, driven_query> m_queries;
    std::set<std::uint64_t> m_openAttempts; ///< Attempts whose reply or timeout has not yet come.
    std::map<std::uint64_t, cancelled_attempt> m_cancelled; ///< Not ended yet; they may outlive their queries.
    std::uint64_t m_nextQuery = 1;
    std::uint64_t m_warmUps = 0;
    static constexpr std::uint64_t warmUpBit = 1ULL << 63U; ///< Tells the ids of copies from those of attempts.
};
} // namespace Bench
