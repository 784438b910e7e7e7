#include "Fixtures.h"

#include "LibForward/AttemptKind.h"
#include "LibForward/ReplicaTable.h"
#include "LibForward/RetryBudget.h"
#include "LibForward/RetryEvents.h"
#include "LibForward/SharedLimits.h"
#include "LibForward/SharingState.h"

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibMembership/ActiveSet.h"
#include "LibMembership/MemberTable.h"
#include "LibMembership/Membership.h"
#include "LibMembership/MembershipSettings.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <random>

using namespace std::chrono_literals;

/// A fleet on virtual time whose daemons all want far more retries at one service than they may send. The sum over all
/// daemons, those that have stopped included, stays within the bound in every window, whatever each daemon knows of the
/// others.
namespace
{
constexpr auto step = 100ms;
constexpr std::size_t stepsPerRound = 10;
constexpr Core::time_point start {1000s};
constexpr double requestsPerSecond = 96.0;
constexpr double fleetSlack = 630.0;

struct fleet_daemon {
    Membership::member_table table;
    Forward::replica_table replicaTable;
    Forward::sharing_state sharing;
    Forward::retry_budget budget;
    bool running = true;
    bool active = false; ///< In its own view, as of its latest update.
    int side = 0; ///< Daemons on different sides do not receive each other's messages.
};

class sharing_fleet
{
public:
    sharing_fleet(std::size_t daemons, std::size_t dataCentres, std::uint64_t seed)
        : m_random(seed)
    {
        m_settings.minimumActiveMembers = 3;
        for (std::size_t index = 0; index < dataCentres; ++index) {
            m_topology.dataCentres["dc-" + std::to_string(index)].region = "r-" + std::to_string(index);
        }
        m_daemons.resize(daemons);
        for (std::size_t index = 0; index < daemons; ++index) {
            restart(index);
            m_daemons[index].sharing.activeSince.reset();
        }
    }

    /// Advances the time. Each step, some daemons hear from others of their data centre, and all try to retry.
    void runUntil(Core::time_point end, const std::function<void()> &onStep = {})
    {
        for (; m_now < end; m_now += step) {
            if (onStep) {
                onStep();
            }
            // Each daemon runs a round a second.
            for (std::size_t index = m_rounds++ % stepsPerRound; index < m_daemons.size(); index += stepsPerRound) {
                if (m_daemons[index].running) {
                    runRound(m_daemons[index]);
                }
            }
            sendRequests();
        }
    }

    /// Replaces the daemon's process by a new one that knows the fleet but nothing of its own past.
    void restart(std::size_t index)
    {
        fleet_daemon &daemon = m_daemons[index];
        const int side = daemon.side;
        daemon = {};
        daemon.side = side;
        daemon.table = Membership::makeTable(recordOf(index), {}, m_now);
        for (std::size_t other = index % m_topology.dataCentres.size(); other < m_daemons.size();
             other += m_topology.dataCentres.size()) {
            Membership::mergeRecord(daemon.table, recordOf(other), m_settings, m_now);
        }
    }

    std::vector<std::size_t> activeDaemons()
    {
        std::vector<std::size_t> active;
        for (std::size_t index = 0; index < m_daemons.size(); ++index) {
            if (m_daemons[index].running && m_daemons[index].active) {
                active.push_back(index);
            }
        }
        return active;
    }

    /// Checks every window that ends after `from`.
    void expectWithinBound(Core::time_point from) const
    {
        const double allowed = 0.2 * requestsPerSecond * 10.0 + fleetSlack;
        for (Core::time_point begin = from; begin + m_limits.window <= m_now; begin += step) {
            EXPECT_LE(static_cast<double>(retriesIn(begin)), allowed) << Core::toSeconds(begin - start);
        }
    }

    /// The part of the bound that was used in the window that begins at `begin`.
    double usedPart(Core::time_point begin) const
    {
        return static_cast<double>(retriesIn(begin)) / (0.2 * requestsPerSecond * 10.0 + fleetSlack);
    }

    std::vector<fleet_daemon> &daemons()
    {
        return m_daemons;
    }

    /// The table of a daemon that knows the whole fleet.
    Membership::member_table wholeTable(std::size_t index) const
    {
        Membership::member_table table = Membership::makeTable(recordOf(index), {}, m_now);
        for (std::size_t other = 0; other < m_daemons.size(); ++other) {
            Membership::mergeRecord(table, recordOf(other), m_settings, m_now);
        }
        return table;
    }

    Membership::active_sets activeMembers(const Membership::member_table &table) const
    {
        return Membership::activeMembers(table, m_settings, m_topology, m_now);
    }

    void updateLimits(Forward::replica_table &replicaTable, const Membership::member_table &table) const
    {
        Forward::sharing_state sharing;
        Forward::updateSharedLimits(replicaTable, sharing, m_limits, table, m_settings, m_topology, m_now);
    }

    double heardFraction = 0.7; ///< Probability that a daemon hears of another one in a round.

private:
    Membership::member_record recordOf(std::size_t index) const
    {
        return Fixtures::memberRecord(index, m_topology.dataCentres.size());
    }

    bool isActive(const fleet_daemon &daemon) const
    {
        const auto active = Membership::activeMembers(daemon.table, m_settings, m_topology, m_now);
        const auto own = active.find(daemon.table.self.dataCentre);
        return own != active.end()
            && std::find(own->second.begin(), own->second.end(), &daemon.table.self) != own->second.end();
    }

    /// Receives the heartbeat of each reachable daemon with probability `heardFraction`; the others are late or lost.
    void runRound(fleet_daemon &daemon)
    {
        std::bernoulli_distribution isHeard(heardFraction);
        for (auto &[name, member] : daemon.table.members) {
            const fleet_daemon &other = m_daemons[std::stoul(name.substr(3))];
            if (other.running && other.side == daemon.side && isHeard(m_random)) {
                member.heartbeatAdvancedAt = m_now;
                daemon.table.lastPeerMessageAt = m_now;
            }
        }
        Forward::updateSharedLimits(daemon.replicaTable, daemon.sharing, m_limits, daemon.table, m_settings, m_topology,
                                    m_now);
        daemon.active = isActive(daemon);
    }

    /// Callers use the active daemons, and some keep the addresses of others.
    void sendRequests()
    {
        const std::vector<std::size_t> active = activeDaemons();
        std::uniform_int_distribution<std::size_t> anyDaemon(0, m_daemons.size() - 1);
        std::bernoulli_distribution isStale(0.1);
        m_due += requestsPerSecond * Core::toSeconds(step);
        for (; m_due >= 1.0; m_due -= 1.0) {
            std::size_t index = anyDaemon(m_random);
            if (!active.empty() && !isStale(m_random)) {
                index = active[index % active.size()];
            }
            fleet_daemon &daemon = m_daemons[index];
            if (daemon.running) {
                Forward::recordFirstAttempt(daemon.budget, daemon.replicaTable.retryLimits, m_now);
            }
        }
        std::size_t retries = 0;
        for (fleet_daemon &daemon : m_daemons) {
            while (daemon.running
                   && Forward::tryTakeRetry(daemon.budget, daemon.replicaTable.retryLimits,
                                            Forward::attempt_kind::Retry, m_now)) {
                ++retries;
            }
        }
        m_retriesByStep.push_back(retries);
    }

    std::size_t retriesIn(Core::time_point begin) const
    {
        const auto first = static_cast<std::size_t>((begin - start) / step);
        const auto count = static_cast<std::size_t>(m_limits.window / step);
        std::size_t total = 0;
        for (std::size_t index = first; index < std::min(first + count, m_retriesByStep.size()); ++index) {
            total += m_retriesByStep[index];
        }
        return total;
    }

    Configuration::configuration_document m_topology;
    Membership::membership_settings m_settings;
    Forward::retry_limits m_limits {.ratio = 0.2, .slack = fleetSlack, .window = 10s};
    std::vector<fleet_daemon> m_daemons;
    std::vector<std::size_t> m_retriesByStep;
    std::mt19937_64 m_random;
    Core::time_point m_now = start;
    double m_due = 0.0;
    std::size_t m_rounds = 0;
};

struct fleet_size {
    std::size_t daemons;
    std::size_t dataCentres;
};

class shared_limits_test : public testing::TestWithParam<fleet_size>
{
protected:
    sharing_fleet m_fleet {GetParam().daemons, GetParam().dataCentres, 11};
};
} // namespace

INSTANTIATE_TEST_SUITE_P(FleetSizes, shared_limits_test,
                         testing::Values(fleet_size {9, 3}, fleet_size {66, 6}, fleet_size {295, 6},
                                         fleet_size {590, 4}),
                         [](const auto &info) { return std::to_string(info.param.daemons) + "Daemons"; });

TEST_P(shared_limits_test, MostOfTheRetryBudgetIsUsableInAnUndisturbedFleet)
{
    m_fleet.heardFraction = 0.99;
    m_fleet.runUntil(start + 45s);
    m_fleet.expectWithinBound(start);
    EXPECT_GE(m_fleet.usedPart(start + 34s), 0.8);
}

TEST_P(shared_limits_test, RetriesStayInBoundsWhileActiveDaemonsRestartRepeatedly)
{
    std::size_t restarts = 0;
    m_fleet.runUntil(start + 15s);
    m_fleet.runUntil(start + 35s, [&]() {
        const auto active = m_fleet.activeDaemons();
        if (!active.empty() && restarts % 3 == 0) {
            m_fleet.restart(active[(restarts * 7) % active.size()]);
        }
        ++restarts;
    });
    m_fleet.runUntil(start + 50s);
    m_fleet.expectWithinBound(start);
}

/// Every daemon is restarted, twice within a window, while no daemon receives messages from more than half of the
/// others.
TEST_P(shared_limits_test, RetriesStayInBoundsDuringRollingRestartsOfASplitFleet)
{
    m_fleet.runUntil(start + 15s);
    const std::size_t daemons = m_fleet.daemons().size();
    for (std::size_t index = 0; index < daemons; ++index) {
        m_fleet.daemons()[index].side = (index / GetParam().dataCentres) % 2 == 0 ? 0 : 1;
    }
    const std::size_t restartsPerStep = 2 * daemons / 90 + 1; // Two restarts of each daemon in nine seconds.
    std::size_t restarts = 0;
    m_fleet.runUntil(start + 24s, [&]() {
        for (std::size_t count = 0; count < restartsPerStep && restarts < 2 * daemons; ++count) {
            m_fleet.restart(restarts++ % daemons);
        }
    });
    EXPECT_EQ(restarts, 2 * daemons);
    m_fleet.runUntil(start + 50s);
    m_fleet.expectWithinBound(start);
}

/// One active daemon after the other is lost for good; others take their places.
TEST_P(shared_limits_test, RetriesStayInBoundsWhileTheActiveSetMoves)
{
    m_fleet.runUntil(start + 15s);
    int steps = 0;
    m_fleet.runUntil(start + 35s, [&]() {
        const auto active = m_fleet.activeDaemons();
        const bool mayLose = active.size() > GetParam().dataCentres;
        if (++steps % 20 == 0 && mayLose) {
            m_fleet.daemons()[active.front()].running = false;
        }
    });
    m_fleet.runUntil(start + 60s);
    m_fleet.expectWithinBound(start);
}

/// The fleet falls into two parts that cut through every data centre, for longer than two windows.
TEST_P(shared_limits_test, RetriesStayInBoundsWhileTheFleetIsSplit)
{
    m_fleet.runUntil(start + 15s);
    for (std::size_t index = 0; index < m_fleet.daemons().size(); ++index) {
        m_fleet.daemons()[index].side = (index / GetParam().dataCentres) % 2 == 0 ? 0 : 1;
    }
    m_fleet.runUntil(start + 75s);
    for (fleet_daemon &daemon : m_fleet.daemons()) {
        daemon.side = 0;
    }
    m_fleet.runUntil(start + 100s);
    m_fleet.expectWithinBound(start);
}

TEST_P(shared_limits_test, RetriesStayInBoundsWhenAllDaemonsRestartAtOnce)
{
    m_fleet.runUntil(start + 15s);
    for (std::size_t index = 0; index < m_fleet.daemons().size(); ++index) {
        m_fleet.restart(index);
    }
    m_fleet.runUntil(start + 40s);
    m_fleet.expectWithinBound(start);
}

/// A replica accepts 110 connections of all daemons together.
TEST_P(shared_limits_test, ConnectionsOfActiveDaemonsStayWithinAReplicasLimit)
{
    constexpr double accepted = 110.0;
    const Membership::member_table table = m_fleet.wholeTable(0);
    std::size_t connections = 0;
    for (const auto &[dataCentre, members] : m_fleet.activeMembers(table)) {
        for (const Membership::member_record *member : members) {
            Forward::replica_table replicaTable;
            m_fleet.updateLimits(replicaTable, m_fleet.wholeTable(std::stoul(member->name.substr(3))));
            const std::size_t own = Forward::connectionsPerReplica(replicaTable, accepted);
            EXPECT_GE(own, 2U) << "one connection alone waits for each slow response";
            connections += own;
        }
    }
    EXPECT_GE(connections, 6 * GetParam().dataCentres);
    EXPECT_LE(static_cast<double>(connections), accepted);
}
