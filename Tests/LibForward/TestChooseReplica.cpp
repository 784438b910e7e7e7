#include "Fixtures.h"

#include "LibForward/AttemptFailure.h"
#include "LibForward/AttemptKind.h"
#include "LibForward/ChoiceFilter.h"
#include "LibForward/ChooseReplica.h"
#include "LibForward/ReplicaEvents.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/ReplicaNotices.h"
#include "LibMembership/RendezvousWeight.h"

#include <gtest/gtest.h>

#include <set>

using namespace std::chrono_literals;

namespace
{
class choose_replica_test : public testing::Test
{
protected:
    void SetUp() override
    {
        for (const char *dataCentre : {"a", "b", "c"}) {
            Forward::applyRegistration(m_context.replicaTable,
                                       Fixtures::replicaRegistration(std::string("r-") + dataCentre, "s0", dataCentre),
                                       m_now);
        }
    }

    std::string choose(const Forward::choice_filter &filter = {})
    {
        const auto chosen = Forward::chooseReplica(m_context.replicaTable, 0, filter, m_now, m_context.random);
        return chosen ? m_context.replicaTable.services[0]->replicas[*chosen].registration.id : "none";
    }

    Forward::replica_key keyOf(std::size_t replica)
    {
        return {0, replica};
    }

    Forward::forward_context m_context = Fixtures::makeContext();
    Core::time_point m_now {1000s};
};
} // namespace

TEST_F(choose_replica_test, ChoosesNearestReplicaWhenAllAreIdle)
{
    EXPECT_EQ(choose(), "r-a");
}

TEST_F(choose_replica_test, ChoosesOtherReplicaWhenNearestIsLoaded)
{
    for (int sent = 0; sent < 8; ++sent) {
        Forward::recordSent(m_context.replicaTable, keyOf(0), m_now);
    }
    EXPECT_NE(choose(), "r-a");
}

/// A paused replica keeps its requests. New requests go to other replicas without using the retry budget.
TEST_F(choose_replica_test, AvoidsStalledReplicaUntilItResponds)
{
    Forward::recordSent(m_context.replicaTable, keyOf(0), m_now);
    m_now += 60ms;
    EXPECT_NE(choose(), "r-a");
    Forward::recordAnswer(m_context.replicaTable, keyOf(0), m_now - 60ms, m_now);
    m_now += 10s;
    EXPECT_EQ(choose(), "r-a");
}

TEST_F(choose_replica_test, AvoidsReplicaForAWhileAfterFailure)
{
    Forward::recordSent(m_context.replicaTable, keyOf(0), m_now);
    Forward::recordFailure(m_context.replicaTable, keyOf(0), Forward::attempt_failure::ConnectionLost, m_now, m_now);
    EXPECT_NE(choose(), "r-a");
    m_now += 30s;
    EXPECT_EQ(choose(), "r-a");
}

TEST_F(choose_replica_test, NeverChoosesDrainingRemovedOrEvacuatedReplicas)
{
    Forward::replica_registration draining = Fixtures::replicaRegistration("r-a", "s0", "a");
    draining.draining = true;
    Forward::applyRegistration(m_context.replicaTable, draining, m_now);
    Forward::removeReplica(m_context.replicaTable, "r-b");
    EXPECT_EQ(choose(), "r-c");
    m_context.replicaTable.evacuatedDataCentres.insert("c");
    EXPECT_EQ(choose(), "none");
}

/// Guards against sending a service's requests to another one that has got the addresses of all its ended replicas.
TEST_F(choose_replica_test, NeverChoosesReplicaWhoseAddressBelongsToAnotherInstance)
{
    for (std::size_t replica = 0; replica < 3; ++replica) {
        Forward::recordSent(m_context.replicaTable, keyOf(replica), m_now);
        Forward::recordFailure(m_context.replicaTable, keyOf(replica), Forward::attempt_failure::OtherInstance, m_now,
                               m_now);
    }
    EXPECT_EQ(choose(), "none");
    m_now += 9s;
    Forward::applyRegistration(m_context.replicaTable, Fixtures::replicaRegistration("r-b", "s0", "b"), m_now);
    EXPECT_EQ(choose(), "none") << "the registration of the ended instance is written again";
    Forward::replica_registration restarted = Fixtures::replicaRegistration("r-b", "s0", "b");
    restarted.startedAt = 2;
    Forward::applyRegistration(m_context.replicaTable, restarted, m_now);
    EXPECT_EQ(choose(), "r-b");
    Forward::removeReplica(m_context.replicaTable, "r-b");
    m_now += 2s;
    EXPECT_EQ(choose(), "r-a") << "tried again, should the answer have been wrong";
}

/// An expired registration is weak evidence of a failure. Other replicas are preferred, but if all registrations have
/// expired, all replicas stay in use.
TEST_F(choose_replica_test, ChoosesMissingReplicaOnlyWhenNoOtherIsRegistered)
{
    Forward::markMissing(m_context.replicaTable, "r-a", m_now);
    EXPECT_NE(choose(), "r-a");
    Forward::markMissing(m_context.replicaTable, "r-b", m_now);
    Forward::markMissing(m_context.replicaTable, "r-c", m_now);
    EXPECT_EQ(choose(), "r-a");
    Forward::markMissing(m_context.replicaTable, "unknown", m_now);
    Forward::applyRegistration(m_context.replicaTable, Fixtures::replicaRegistration("r-c", "s0", "c"), m_now);
    EXPECT_EQ(choose(), "r-c");
}

TEST_F(choose_replica_test, ChoosesOnlyReplicasInAllowedRegions)
{
    const std::vector<std::string> regions {"rc"};
    EXPECT_EQ(choose({.allowedRegions = regions}), "r-c");
    const std::vector<std::string> elsewhere {"rz"};
    EXPECT_EQ(choose({.allowedRegions = elsewhere}), "none");
}

/// When a data centre recovers, all of its replicas are cold. In any second all daemons together stay within the rate
/// that a cold replica can handle.
TEST_F(choose_replica_test, LimitsRequestsToColdReplicaToThisDaemonsPart)
{
    Forward::removeReplica(m_context.replicaTable, "r-b");
    Forward::removeReplica(m_context.replicaTable, "r-c");
    Forward::replica_registration cold = Fixtures::replicaRegistration("r-a", "s0", "a");
    cold.remainingSlowStart = 5s;
    Forward::applyRegistration(m_context.replicaTable, cold, m_now);
    Forward::service_policy policy;
    policy.coldRequestsPerSecond = 20.0;
    m_context.replicaTable.coldOvershoot = 1.5;
    m_context.replicaTable.coldSlack = 6.0;
    m_context.replicaTable.daemons = 3;
    const double allowedPerSecond = 20.0 * 1.5 + 6.0;
    std::vector<Core::time_point> sent;
    for (int step = 0; step < 400; ++step) {
        m_now += 10ms;
        if (choose({.policy = &policy}) == "r-a") {
            Forward::recordColdRequest(Forward::replicaAt(m_context.replicaTable, keyOf(0)), m_now);
            sent.push_back(m_now);
        }
    }
    for (const Core::time_point from : sent) {
        const auto sentInSecond = std::count_if(
            sent.begin(), sent.end(), [&](Core::time_point time) { return time >= from && time < from + 1s; });
        EXPECT_LE(static_cast<double>(sentInSecond) * 3, allowedPerSecond);
    }
    EXPECT_GT(sent.size(), 8U);
}

/// A data centre recovers, and the fleet has more daemons than a cold replica can handle requests per second. All
/// daemons together stay within the limit, and the replica still receives requests.
TEST_F(choose_replica_test, SharesColdReplicaLimitWhenDaemonsOutnumberItsRequests)
{
    constexpr std::size_t daemons = 90;
    constexpr double allowedPerSecond = 12.0 * 1.5 + 5.0;
    Forward::service_policy policy;
    policy.coldRequestsPerSecond = 12.0;
    for (int replica = 0; replica < 5; ++replica) {
        std::size_t sent = 0;
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            Forward::forward_context context = Fixtures::makeContext();
            Forward::replica_registration cold =
                Fixtures::replicaRegistration("cold-" + std::to_string(replica), "s0", "a");
            cold.remainingSlowStart = 5s;
            Forward::applyRegistration(context.replicaTable, cold, m_now);
            context.replicaTable.coldOvershoot = 1.5;
            context.replicaTable.coldSlack = 5.0;
            context.replicaTable.daemons = daemons;
            for (std::size_t other = 0; other < daemons; ++other) {
                const std::uint64_t hash = Membership::hashName("vm-" + std::to_string(other));
                if (other == daemon) {
                    context.replicaTable.ownHash = hash;
                } else {
                    context.replicaTable.otherHashes.push_back(hash);
                }
            }
            for (int request = 0; request < 3; ++request) {
                const Core::time_point now = m_now + request * 100ms;
                if (Forward::chooseReplica(context.replicaTable, 0, {.policy = &policy}, now, context.random)) {
                    Forward::recordColdRequest(Forward::replicaAt(context.replicaTable, keyOf(0)), now);
                    ++sent;
                }
            }
        }
        // A sliding second can overlap two counted seconds.
        EXPECT_LE(2.0 * static_cast<double>(sent), allowedPerSecond);
        EXPECT_GE(sent, 8U);
    }
}

TEST_F(choose_replica_test, ResetsStateWhenReplicaRestartsUnderTheSameId)
{
    Forward::recordSent(m_context.replicaTable, keyOf(0), m_now);
    Forward::recordFailure(m_context.replicaTable, keyOf(0), Forward::attempt_failure::ConnectionLost, m_now, m_now);
    Forward::replica_registration restarted = Fixtures::replicaRegistration("r-a", "s0", "a");
    EXPECT_FALSE(Forward::applyRegistration(m_context.replicaTable, restarted, m_now).has_value());
    restarted.startedAt = 2;
    EXPECT_TRUE(Forward::applyRegistration(m_context.replicaTable, restarted, m_now).has_value());
    EXPECT_EQ(choose(), "r-a");
    EXPECT_EQ(Forward::registeredReplicaIds(m_context.replicaTable).size(), 3U);
}

/// Guards against requests to a replica whose answers say that it shuts down, until it has started again.
TEST_F(choose_replica_test, NeverChoosesReplicaThatSaysItShutsDown)
{
    Forward::replica_state &nearest = m_context.replicaTable.services[0]->replicas[0];
    EXPECT_TRUE(Forward::recordShutdownNotice(m_context.replicaTable, nearest, m_now));
    EXPECT_FALSE(Forward::recordShutdownNotice(m_context.replicaTable, nearest, m_now));
    EXPECT_NE(choose(), "r-a");
    Forward::replica_registration again = nearest.registration;
    Forward::applyRegistration(m_context.replicaTable, again, m_now);
    EXPECT_NE(choose(), "r-a") << "the same start still shuts down";
    ++again.startedAt;
    Forward::applyRegistration(m_context.replicaTable, again, m_now);
    EXPECT_EQ(choose(), "r-a");
}

/// Guards against requests to a replica that left without a notice: its registration is missing, and it closes its
/// connections. One whose registration lapsed by mistake is used again once it is back.
TEST_F(choose_replica_test, NeverChoosesMissingReplicaThatClosesItsConnections)
{
    Forward::replica_state &nearest = m_context.replicaTable.services[0]->replicas[0];
    EXPECT_FALSE(Forward::recordClosing(m_context.replicaTable, nearest))
        << "registered replicas close connections now and then";
    EXPECT_EQ(choose(), "r-a");
    Forward::markMissing(m_context.replicaTable, "r-a", m_now);
    EXPECT_TRUE(Forward::recordClosing(m_context.replicaTable, nearest));
    for (const char *other : {"r-b", "r-c"}) {
        Forward::removeReplica(m_context.replicaTable, other);
    }
    EXPECT_EQ(choose(), "none");
    Forward::applyRegistration(m_context.replicaTable, nearest.registration, m_now);
    EXPECT_EQ(choose(), "r-a");
}

/// Guards against requests to a replica that has stated for how long it wants none, and against all daemons returning
/// to it in the same moment.
TEST_F(choose_replica_test, NeverChoosesReplicaThatWantsNoRequests)
{
    for (const char *other : {"r-b", "r-c"}) {
        Forward::removeReplica(m_context.replicaTable, other);
    }
    std::set<Core::time_point> returns;
    for (std::uint64_t daemon = 1; daemon <= 50; ++daemon) {
        m_context.replicaTable.ownHash = Membership::hashName(std::to_string(daemon));
        Forward::replica_state replica = m_context.replicaTable.services[0]->replicas[0];
        EXPECT_TRUE(Forward::recordRetryAfter(m_context.replicaTable, replica, 2s, m_now));
        EXPECT_FALSE(Forward::acceptsRequests(replica, m_now + 1999ms));
        EXPECT_TRUE(Forward::acceptsRequests(replica, m_now + 2500ms));
        returns.insert(replica.quietUntil);
    }
    EXPECT_GT(returns.size(), 40U);
    Forward::replica_state &only = m_context.replicaTable.services[0]->replicas[0];
    EXPECT_FALSE(Forward::recordRetryAfter(m_context.replicaTable, only, 0s, m_now));
    EXPECT_EQ(choose(), "r-a");
    EXPECT_TRUE(Forward::recordRetryAfter(m_context.replicaTable, only, Core::duration::max(), m_now));
    EXPECT_EQ(choose(), "none");
    EXPECT_FALSE(Forward::recordRetryAfter(m_context.replicaTable, only, 1s, m_now))
        << "a shorter time changes nothing";
}

/// Guards against a shard that is refused, or whose last replica is overloaded, although replicas that leave serve on
/// for their drain time. The first half of it is used while the others are busy, but never for hedges.
TEST_F(choose_replica_test, ChoosesLeavingReplicaForAWhileWhenTheOthersAreBusy)
{
    m_context.replicaTable.drainTime = 3s;
    std::vector<Forward::replica_state> &replicas = m_context.replicaTable.services[0]->replicas;
    const Core::time_point learnedAt = m_now;
    Forward::replica_registration draining = replicas[0].registration;
    draining.draining = true;
    Forward::applyRegistration(m_context.replicaTable, draining, learnedAt);
    replicas[1].stayedAt = learnedAt;
    EXPECT_TRUE(Forward::recordShutdownNotice(m_context.replicaTable, replicas[1], learnedAt));
    EXPECT_EQ(choose(), "r-c") << "farther, but it stays";
    for (int sent = 0; sent < 30; ++sent) {
        Forward::recordSent(m_context.replicaTable, keyOf(2), m_now);
    }
    EXPECT_EQ(choose(), "r-a");
    Forward::removeReplica(m_context.replicaTable, "r-c");
    EXPECT_EQ(choose(), "r-a");
    EXPECT_EQ(choose({.kind = Forward::attempt_kind::Hedge}), "none");
    m_now = learnedAt + 1400ms;
    EXPECT_FALSE(Forward::recordShutdownNotice(m_context.replicaTable, replicas[1], m_now));
    EXPECT_EQ(choose(), "r-a");
    m_now = learnedAt + 1500ms;
    EXPECT_EQ(choose(), "none") << "further notices do not extend the time";
}

/// Guards against requests to a replica that shuts down, or wants none, since its registration lapsed in the meantime
/// and came back.
TEST_F(choose_replica_test, NoticesHoldWhenTheSameStartIsRegisteredAgain)
{
    m_context.replicaTable.drainTime = 3s;
    std::vector<Forward::replica_state> &replicas = m_context.replicaTable.services[0]->replicas;
    EXPECT_TRUE(Forward::recordShutdownNotice(m_context.replicaTable, replicas[0], m_now));
    EXPECT_TRUE(Forward::recordRetryAfter(m_context.replicaTable, replicas[1], 10s, m_now));
    const std::vector<Forward::replica_registration> lapsed {replicas[0].registration, replicas[1].registration};
    for (const char *id : {"r-a", "r-b", "r-c"}) {
        Forward::removeReplica(m_context.replicaTable, id);
    }
    m_now += 2s;
    for (const Forward::replica_registration &again : lapsed) {
        Forward::applyRegistration(m_context.replicaTable, again, m_now);
    }
    EXPECT_EQ(choose(), "none");
    for (Forward::replica_registration again : lapsed) {
        Forward::removeReplica(m_context.replicaTable, again.id);
        ++again.startedAt;
        Forward::applyRegistration(m_context.replicaTable, again, m_now);
    }
    EXPECT_EQ(choose(), "r-a");
}

/// Guards against a replica that is used beyond its drain time by a daemon that learns late that it leaves.
TEST_F(choose_replica_test, NoticeCountsFromTheLatestAnswerWithoutIt)
{
    m_context.replicaTable.drainTime = 3s;
    Forward::replica_state &nearest = m_context.replicaTable.services[0]->replicas[0];
    nearest.stayedAt = m_now - 1s;
    EXPECT_TRUE(Forward::recordShutdownNotice(m_context.replicaTable, nearest, m_now));
    EXPECT_TRUE(Forward::acceptsRequests(nearest, m_now + 400ms));
    EXPECT_FALSE(Forward::acceptsRequests(nearest, m_now + 500ms));
    Forward::replica_state &idle = m_context.replicaTable.services[0]->replicas[1];
    idle.stayedAt = m_now - 2s;
    EXPECT_TRUE(Forward::recordShutdownNotice(m_context.replicaTable, idle, m_now));
    EXPECT_FALSE(Forward::acceptsRequests(idle, m_now)) << "it may have left 2 s ago";
}
