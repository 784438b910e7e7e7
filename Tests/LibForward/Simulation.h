#pragma once

#include "SimulatedReplica.h"
#include "Totals.h"

#include "LibForward/ForwardContext.h"
#include "LibForward/RequestEffects.h"
#include "LibForward/RequestState.h"
#include "LibForward/TrafficConfiguration.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace Simulation
{
/// Runs the request state machine of one daemon against simulated replicas on virtual time. Each shard has one replica
/// in each of three data centres.
class simulation
{
public:
    simulation(std::shared_ptr<const Forward::traffic_configuration> configuration, std::size_t shards,
               Core::duration meanServiceTime, std::uint64_t seed);

    [[nodiscard]] simulated_replica &replica(std::size_t shard, std::size_t dataCentre);
    /// Makes refused callers retry once, after the daemon's Retry-After.
    void enableCallerRetries();
    /// Sets this daemon's part of the retry slack.
    void setRetrySlack(double slack);
    /// Generates requests as a Poisson process with the given mean rate, and runs until all of them have ended.
    [[nodiscard]] totals run(double requestsPerSecond, Core::duration length);

    static constexpr std::size_t dataCentres = 3;

private:
    struct event {
        Core::time_point when;
        std::uint64_t order = 0;
        std::function<void()> work;
        bool operator<(const event &other) const
        {
            return std::tie(other.when, other.order) < std::tie(when, order);
        }
    };

    void at(Core::time_point when, std::function<void()> work);
    void startRequest(std::size_t index, Core::duration waited);
    void applyEffects(std::size_t index, const Forward::request_effects &effects);
    void arrive(const Forward::replica_key &key, const arrival &arrived);
    void work(const Forward::replica_key &key, const arrival &arrived);
    void reply(const Forward::replica_key &key, const arrival &arrived, bool isAnswer);
    void finish(std::size_t index, Forward::request_outcome outcome);
    [[nodiscard]] Core::duration remainingPause(const simulated_replica &replica) const;
    [[nodiscard]] bool isUnresponsive(const simulated_replica &replica) const;
    [[nodiscard]] Core::duration drawServiceTime(const simulated_replica &replica);

    std::shared_ptr<const Forward::traffic_configuration> m_configuration;
    Core::duration m_meanServiceTime;
    Forward::forward_context m_context;
    std::map<Forward::replica_key, simulated_replica> m_replicas;
    std::vector<std::unique_ptr<Forward::request_state>> m_requests;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    Core::time_point m_now {std::chrono::seconds(1000)};
    Core::random_engine m_random;
    totals m_totals;
    bool m_retryRefusedRequests = false;
};
} // namespace Simulation
