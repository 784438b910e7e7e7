#pragma once

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibCore/RandomEngine.h"
#include "LibForward/ForwardContext.h"
#include "LibForward/ReplicaKey.h"
#include "LibForward/RequestEffects.h"
#include "LibForward/RequestState.h"
#include "LibForward/SharingState.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/MembershipSettings.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace Simulation
{
/// A fleet of daemons on virtual time in front of replicas that answer every request after a fixed time, and that may
/// state a limit on their request rate. Each shard has one replica in each of the first three data centres; each data
/// centre is a region of its own. The daemons know the whole fleet unless a test says otherwise.
class limited_fleet
{
public:
    limited_fleet(std::size_t daemons, std::size_t dataCentres, std::size_t shards, double minimumCoverage);

    /// Makes a replica state a limit in its answers from now on; 0: none.
    void setLimit(std::size_t shard, std::size_t dataCentre, double perSecond);
    /// Sends all requests to the daemons of one data centre, or to all daemons again.
    void moveCallers(std::size_t dataCentre);
    void spreadCallers();
    /// Replaces the daemon's process by one that knows the fleet but no limit.
    void restart(std::size_t daemon);
    /// Requests of a Poisson process arrive at the active daemons, a few at the others.
    void run(double requestsPerSecond, Core::duration length);

    /// Returns the most requests that the replica got in any 4 s since `from`, from daemons that had known its limit
    /// for half a second.
    [[nodiscard]] std::size_t mostRequestsIn4Seconds(std::size_t shard, std::size_t dataCentre,
                                                     Core::time_point from) const;
    /// Returns the mean rate of requests to the replica since `from`, in requests per second.
    [[nodiscard]] double meanRate(std::size_t shard, std::size_t dataCentre, Core::time_point from) const;
    [[nodiscard]] Core::time_point now() const;

    struct counts {
        std::size_t requests = 0;
        std::size_t answered = 0;
        std::size_t whole = 0; ///< Answered by every shard.
        std::size_t refused = 0; ///< Refused at once without having run.
        std::size_t attempts = 0;
    };
    counts totals;
    double heardFraction = 1.0; ///< Probability that a daemon hears of another one in a round.

private:
    struct simulated_daemon {
        Membership::member_table table;
        Forward::forward_context context;
        Forward::sharing_state sharing;
        std::map<Forward::replica_key, Core::time_point> toldAt; ///< When it got the first answer with a limit.
        bool active = false;
    };
    struct running_request {
        std::size_t daemon = 0;
        Forward::request_state state;
    };
    struct event {
        Core::time_point when;
        std::uint64_t order = 0;
        std::function<void()> work;
        bool operator<(const event &other) const
        {
            return std::tie(other.when, other.order) < std::tie(when, order);
        }
    };

    void runRounds();
    void runRound(std::size_t daemon);
    void startRequest(std::size_t daemon);
    [[nodiscard]] std::size_t pickDaemon();
    void applyEffects(const std::shared_ptr<running_request> &request, const Forward::request_effects &effects);
    void answer(const std::shared_ptr<running_request> &request, const Forward::send_attempt &send,
                Core::time_point sentAt);
    void at(Core::time_point when, std::function<void()> work);

    std::shared_ptr<const Forward::traffic_configuration> m_configuration;
    Configuration::configuration_document m_topology;
    Membership::membership_settings m_settings;
    std::size_t m_shards;
    std::vector<std::unique_ptr<simulated_daemon>> m_daemons;
    std::map<Forward::replica_key, double> m_limits;
    std::map<Forward::replica_key, std::vector<Core::time_point>> m_arrivals;
    std::map<Forward::replica_key, std::vector<Core::time_point>> m_countedArrivals; ///< From daemons that were told.
    std::vector<std::size_t> m_callersOf; ///< Daemons that requests arrive at; empty: all active ones.
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    Core::time_point m_now {std::chrono::seconds(1000)};
    Core::random_engine m_random {5};
};
} // namespace Simulation
