#include "Fixtures.h"
#include "Simulation.h"

#include <gtest/gtest.h>

#include <random>

using namespace std::chrono_literals;
using Simulation::simulation;

/// Each test simulates one pattern of load or faults on virtual time. The bounds are the route's target latency, the
/// retry budget, and the fraction of requests that the users require to be answered within the target.
namespace
{
constexpr std::size_t shards = 10;
constexpr Core::duration meanServiceTime = 11ms;
constexpr double normalRate = 30.0; ///< Requests per second; uses a third of the near replicas' slots.
constexpr Core::duration length = 30s;
constexpr double minimumOnTimeFraction = 0.95;
constexpr double retryRatio = 0.2;
constexpr double retrySlack = 20.0;

simulation makeSimulation(double minimumCoverage)
{
    return {Fixtures::scatterGatherConfiguration(shards, minimumCoverage), shards, meanServiceTime, 17};
}

constexpr std::size_t manyShards = 90;
constexpr double manyShardsSlack = 30.0;
constexpr double ratePerActiveDaemon = 6.0; ///< Queries per second, in a large fleet.
constexpr Core::time_point start {1000s};
constexpr Core::time_point refusalsFrom {1015s};
constexpr Core::time_point refusalsUntil {1024s};

simulation makeManyShards()
{
    simulation simulated {Fixtures::scatterGatherConfiguration(manyShards, 0.95), manyShards, meanServiceTime, 23};
    simulated.setRetrySlack(manyShardsSlack);
    return simulated;
}

void refuseForAWhile(Simulation::simulated_replica &replica)
{
    replica.refusedFraction = 0.6;
    replica.refusesFrom = refusalsFrom;
    replica.refusesUntil = refusalsUntil;
}

void injectPauses(simulation &simulated)
{
    for (std::size_t shard = 0; shard < shards; ++shard) {
        for (std::size_t dataCentre = 0; dataCentre < simulation::dataCentres; ++dataCentre) {
            Simulation::simulated_replica &replica = simulated.replica(shard, dataCentre);
            replica.pauseInterval = 3600ms;
            replica.pauseDuration = 150ms;
            replica.pausePhase = std::chrono::milliseconds(337 * (shard * simulation::dataCentres + dataCentre));
        }
    }
}

double extraAttemptFraction(const Simulation::totals &result)
{
    const double firstAttempts = static_cast<double>(result.requests) * shards;
    return (static_cast<double>(result.attempts) - firstAttempts) / firstAttempts;
}

double onTimeFraction(const Simulation::totals &result)
{
    return static_cast<double>(result.onTime) / static_cast<double>(result.requests);
}
} // namespace

/// Every replica pauses for 150 ms every 3.6 s, so a third of the queries over ten shards meet a pause.
TEST(HeavyLoad, HedgesKeepResponsesOnTimeWhenReplicasPause)
{
    simulation simulated = makeSimulation(0.89);
    injectPauses(simulated);
    const Simulation::totals result = simulated.run(normalRate, length);
    EXPECT_GE(onTimeFraction(result), minimumOnTimeFraction);
    EXPECT_GE(result.meanScore(), 0.93);
    EXPECT_LE(extraAttemptFraction(result), retryRatio);
}

/// All replicas of one shard are unresponsive for a while. Complete results are impossible, but partial results must
/// still arrive on time.
TEST(HeavyLoad, RespondsOnTimeWithPartialResultsWhenShardIsUnresponsive)
{
    simulation simulated = makeSimulation(0.89);
    for (std::size_t dataCentre = 0; dataCentre < simulation::dataCentres; ++dataCentre) {
        simulated.replica(3, dataCentre).unresponsiveFrom = Core::time_point {1005s};
        simulated.replica(3, dataCentre).unresponsiveUntil = Core::time_point {1015s};
    }
    const Simulation::totals result = simulated.run(normalRate, length);
    EXPECT_GE(onTimeFraction(result), minimumOnTimeFraction);
    EXPECT_LE(extraAttemptFraction(result), retryRatio);
}

/// Replicas of several shards become nine times slower.
TEST(HeavyLoad, MovesLoadToOtherReplicasWhenSomeAreSlow)
{
    simulation simulated = makeSimulation(0.89);
    injectPauses(simulated);
    for (const std::size_t shard : {1U, 4U, 7U}) {
        simulated.replica(shard, 0).serviceTimeFactor = 9.0;
    }
    const Simulation::totals result = simulated.run(normalRate, length);
    EXPECT_GE(onTimeFraction(result), minimumOnTimeFraction);
    EXPECT_LE(extraAttemptFraction(result), retryRatio);
}

/// All replicas become five times slower. Hedges must not amplify the load.
TEST(HeavyLoad, StaysWithinRetryBudgetWhenAllReplicasAreSlow)
{
    simulation simulated = makeSimulation(0.89);
    for (std::size_t shard = 0; shard < shards; ++shard) {
        for (std::size_t dataCentre = 0; dataCentre < simulation::dataCentres; ++dataCentre) {
            simulated.replica(shard, dataCentre).serviceTimeFactor = 5.0;
        }
    }
    const Simulation::totals result = simulated.run(normalRate, length);
    const double firstAttempts = static_cast<double>(result.requests) * shards;
    // Each shard's service may use the slack once per window of 10 s.
    const double allowed = retryRatio * firstAttempts + retrySlack * shards * 4;
    EXPECT_LE(static_cast<double>(result.attempts) - firstAttempts, allowed);
}

/// The request rate exceeds the capacity of all replicas. Some callers are refused immediately, and most of the
/// admitted requests are answered on time. Without refusals nearly all responses would be late.
TEST(HeavyLoad, RefusesExcessRequestsAndServesTheRestOnTimeWhenOverloaded)
{
    simulation simulated = makeSimulation(0.89);
    simulated.enableCallerRetries();
    const Simulation::totals normal = simulated.run(normalRate, 5s);
    EXPECT_EQ(normal.refused, 0U);
    const double capacity = simulation::dataCentres * 2 / Core::toSeconds(meanServiceTime);
    const Simulation::totals overloaded = simulated.run(capacity * 1.3, 6s);
    EXPECT_GE(overloaded.meanScore(), 0.5);
    EXPECT_LE(static_cast<double>(overloaded.refused), 0.6 * static_cast<double>(overloaded.requests));
    const Simulation::totals after = simulated.run(normalRate, 10s);
    EXPECT_GE(onTimeFraction(after), minimumOnTimeFraction);
}

/// All replicas of one shard refuse some requests while they execute the others normally.
TEST(HeavyLoad, AsksAgainWhenAllReplicasOfAShardRefuse)
{
    simulation simulated = makeSimulation(1.0);
    for (std::size_t dataCentre = 0; dataCentre < simulation::dataCentres; ++dataCentre) {
        simulated.replica(3, dataCentre).refusedFraction = 0.3; // The retry budget covers this many.
    }
    const Simulation::totals result = simulated.run(5.0, length);
    EXPECT_GE(onTimeFraction(result), minimumOnTimeFraction);
}

/// Half of all replicas refuse most requests, at most two of each shard. Those that accept are found within a few
/// responses, so that queries over many shards are answered.
TEST(HeavyLoad, PrefersReplicasThatAcceptWhenOthersRefuse)
{
    simulation simulated = makeManyShards();
    for (std::size_t shard = 0; shard < manyShards; ++shard) {
        refuseForAWhile(simulated.replica(shard, shard % simulation::dataCentres));
        refuseForAWhile(simulated.replica(shard, 0));
    }
    const Simulation::totals result = simulated.run(ratePerActiveDaemon, length);
    EXPECT_LE(static_cast<double>(result.failed + result.refused), 0.02 * static_cast<double>(result.requests));
    EXPECT_GE(onTimeFraction(result), minimumOnTimeFraction);
}

/// Eight of ten replicas refuse most requests for nine seconds. In half of the shards that is every replica, and each
/// of these needs 1.5 retries a query on average, which the budget covers for half of the queries. At least half of
/// those are answered.
TEST(HeavyLoad, AnswersQueriesWithinTheBudgetWhenMostReplicasRefuse)
{
    simulation simulated = makeManyShards();
    std::mt19937_64 random(5);
    for (std::size_t shard = 0; shard < manyShards; ++shard) {
        for (std::size_t dataCentre = 0; dataCentre < simulation::dataCentres; ++dataCentre) {
            if (std::bernoulli_distribution(0.8)(random)) {
                refuseForAWhile(simulated.replica(shard, dataCentre));
            }
        }
    }
    const Simulation::totals before = simulated.run(ratePerActiveDaemon, refusalsFrom - start);
    EXPECT_GE(onTimeFraction(before), minimumOnTimeFraction);
    const Simulation::totals during = simulated.run(ratePerActiveDaemon, refusalsUntil - refusalsFrom);
    const double answered = static_cast<double>(during.onTime + during.late) / static_cast<double>(during.requests);
    constexpr double retriesForEachQuery = 0.6 / 0.4;
    const double queries = ratePerActiveDaemon * Core::toSeconds(refusalsUntil - refusalsFrom);
    const double coveredFraction = (retryRatio * queries + manyShardsSlack) / (retriesForEachQuery * queries);
    EXPECT_GE(answered, 0.5 * coveredFraction);
}
