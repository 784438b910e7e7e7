#include "Fixtures.h"
#include "Simulation.h"

#include <gtest/gtest.h>

using namespace std::chrono_literals;
using Simulation::simulation;

/// Each test simulates one pattern of load or faults on virtual time. The bounds are the route's target latency, the
/// retry budget, and the fraction of requests that the users require to be answered within the target.
namespace
{
constexpr std::size_t shards = 10;
constexpr Core::duration meanWork = 11ms;
constexpr double calmRate = 30.0; ///< Requests per second; uses a third of the near replicas' slots.
constexpr Core::duration length = 30s;
constexpr double minimumOnTimeFraction = 0.95;
constexpr double repeatRatio = 0.2;
constexpr double repeatSlack = 20.0;

simulation makeSimulation(double minimumCoverage)
{
    return {Fixtures::scatterGatherConfiguration(shards, minimumCoverage), shards, meanWork, 17};
}

void letAllPause(simulation &played)
{
    for (std::size_t shard = 0; shard < shards; ++shard) {
        for (std::size_t dataCentre = 0; dataCentre < simulation::dataCentres; ++dataCentre) {
            Simulation::simulated_replica &replica = played.replica(shard, dataCentre);
            replica.pauseEvery = 3600ms;
            replica.pauseFor = 150ms;
            replica.pausePhase = std::chrono::milliseconds(337 * (shard * simulation::dataCentres + dataCentre));
        }
    }
}

double extraPart(const Simulation::totals &seen)
{
    const double firsts = static_cast<double>(seen.requests) * shards;
    return (static_cast<double>(seen.attempts) - firsts) / firsts;
}

double inTimePart(const Simulation::totals &seen)
{
    return static_cast<double>(seen.onTime) / static_cast<double>(seen.requests);
}
} // namespace

/// Every replica pauses for 150 ms every 3.6 s, so a third of the queries over ten shards meet a pause.
TEST(HeavyLoad, PausesAreHiddenByHedges)
{
    simulation played = makeSimulation(0.89);
    letAllPause(played);
    const Simulation::totals seen = played.run(calmRate, length);
    EXPECT_GE(inTimePart(seen), minimumOnTimeFraction);
    EXPECT_GE(seen.meanWorth(), 0.93);
    EXPECT_LE(extraPart(seen), repeatRatio);
}

/// All replicas of one shard are unresponsive for a while. Complete results are impossible, but partial results must
/// still arrive on time.
TEST(HeavyLoad, DarkShardCostsItsPartOnly)
{
    simulation played = makeSimulation(0.89);
    for (std::size_t dataCentre = 0; dataCentre < simulation::dataCentres; ++dataCentre) {
        played.replica(3, dataCentre).darkFrom = Core::time_point {1005s};
        played.replica(3, dataCentre).darkUntil = Core::time_point {1015s};
    }
    const Simulation::totals seen = played.run(calmRate, length);
    EXPECT_GE(inTimePart(seen), minimumOnTimeFraction);
    EXPECT_LE(extraPart(seen), repeatRatio);
}

/// Replicas of several shards become nine times slower.
TEST(HeavyLoad, SlowReplicasLoseTheirWorkToOthers)
{
    simulation played = makeSimulation(0.89);
    letAllPause(played);
    for (const std::size_t shard : {1U, 4U, 7U}) {
        played.replica(shard, 0).slowness = 9.0;
    }
    const Simulation::totals seen = played.run(calmRate, length);
    EXPECT_GE(inTimePart(seen), minimumOnTimeFraction);
    EXPECT_LE(extraPart(seen), repeatRatio);
}

/// All replicas become five times slower. Hedges must not amplify the load.
TEST(HeavyLoad, GeneralSlowDownMakesNoStormOfRepeats)
{
    simulation played = makeSimulation(0.89);
    for (std::size_t shard = 0; shard < shards; ++shard) {
        for (std::size_t dataCentre = 0; dataCentre < simulation::dataCentres; ++dataCentre) {
            played.replica(shard, dataCentre).slowness = 5.0;
        }
    }
    const Simulation::totals seen = played.run(calmRate, length);
    const double firsts = static_cast<double>(seen.requests) * shards;
    // Each shard's service may use the slack once per window of 10 s.
    const double allowed = repeatRatio * firsts + repeatSlack * shards * 4;
    EXPECT_LE(static_cast<double>(seen.attempts) - firsts, allowed);
}

/// The request rate exceeds the capacity of all replicas. Some callers are refused immediately, and most of the
/// admitted requests are answered on time. Without refusals nearly all responses would be late.
TEST(HeavyLoad, CrowdIsPartlySentAwayAndTheRestServedInTime)
{
    simulation played = makeSimulation(0.89);
    played.letCallersReturn();
    const Simulation::totals calm = played.run(calmRate, 5s);
    EXPECT_EQ(calm.refused, 0U);
    const double capacity = simulation::dataCentres * 2 / Core::toSeconds(meanWork);
    const Simulation::totals crowd = played.run(capacity * 1.3, 6s);
    EXPECT_GE(crowd.meanWorth(), 0.5);
    EXPECT_LE(static_cast<double>(crowd.refused), 0.6 * static_cast<double>(crowd.requests));
    const Simulation::totals after = played.run(calmRate, 10s);
    EXPECT_GE(inTimePart(after), minimumOnTimeFraction);
}
