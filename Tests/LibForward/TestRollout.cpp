#include "Fixtures.h"

#include "LibForward/AttemptKind.h"
#include "LibForward/ChoiceFilter.h"
#include "LibForward/ChooseForRequest.h"
#include "LibForward/ChooseReplica.h"
#include "LibForward/MakePlan.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/RequestState.h"
#include "LibForward/RolloutEvents.h"
#include "LibForward/RolloutState.h"
#include "LibRollout/Evidence.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <functional>
#include <optional>
#include <set>
#include <vector>

using namespace std::chrono_literals;
using Forward::rollout_outcome;
using Rollout::version_side;

namespace
{
/// A simulated response of a replica.
struct simulated_answer {
    bool failed = false;
    Core::duration latency = 10ms;
};

/// The results of a simulated rollout.
struct simulated_rollout {
    rollout_outcome outcome = rollout_outcome::Running;
    Core::duration endedAfter {};
    int requests = 0;
    int newVersionRequests = 0;
    int faultyAnswers = 0;
    /// Requests to the new version after the allowed time since its 50th faulty response.
    int lateNewVersionRequests = 0;
};

constexpr Core::duration length = 12s;
constexpr Core::duration allowedTimeAfterFaults = 5s;
constexpr int faultLimit = 50;
constexpr int requestsPerSecond = 240;
constexpr double exposureShare = 0.1;
constexpr int exposureSlack = 50;

/// Simulates a rollout of 12 s on three daemons that exchange their evidence every 300 ms. `newVersion` generates the
/// responses of the new version.
simulated_rollout
simulateRollout(const std::function<simulated_answer(double progress, double share, Core::random_engine &)> &newVersion)
{
    constexpr std::size_t daemons = 3;
    std::array<Forward::rollout_state, daemons> rolloutStates;
    Core::random_engine random(23);
    Core::time_point now {1000s};
    Core::wall_time wall {std::chrono::hours(400'000)};
    for (Forward::rollout_state &rolloutState : rolloutStates) {
        rolloutState = Forward::startRollout({"s0", "v2", length}, exposureShare, now, now);
    }
    simulated_rollout result;
    const Core::time_point start = now;
    Core::time_point faultLimitReachedAt = Core::time_point::max();
    constexpr Core::duration step = Core::duration(1s) / requestsPerSecond;
    constexpr int stepsPerRound = requestsPerSecond * 3 / 10;
    std::normal_distribution<double> spread(0.0, 0.2);
    for (int index = 0; now - start < length + 3s; ++index) {
        if (index % stepsPerRound == 0) {
            for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
                Rollout::mergeEvidence(rolloutStates[(daemon + 1) % daemons].mergedEvidence,
                                       rolloutStates[daemon].mergedEvidence);
                Forward::updateRollout(rolloutStates[daemon], daemon + 1, now, wall);
            }
            if (result.outcome == rollout_outcome::Running && rolloutStates[0].outcome != rollout_outcome::Running) {
                result.outcome = rolloutStates[0].outcome;
                result.endedAfter = now - start;
            }
        }
        Forward::rollout_state &rolloutState = rolloutStates[static_cast<std::size_t>(index) % daemons];
        const version_side side = Forward::pickSide(rolloutState, random);
        Forward::recordRolloutRequest(rolloutState, side);
        simulated_answer answer {false, std::chrono::duration_cast<Core::duration>(10ms * std::exp(spread(random)))};
        if (now - start <= length) {
            ++result.requests;
            result.newVersionRequests += side == version_side::New ? 1 : 0;
        }
        if (side == version_side::New) {
            const double progress = Core::toSeconds(now - start) / Core::toSeconds(length);
            answer = newVersion(progress, rolloutState.share, random);
            result.faultyAnswers += answer.failed || answer.latency > 25ms ? 1 : 0;
            faultLimitReachedAt =
                result.faultyAnswers == faultLimit ? std::min(faultLimitReachedAt, now) : faultLimitReachedAt;
            const bool tooLate =
                faultLimitReachedAt != Core::time_point::max() && now - faultLimitReachedAt > allowedTimeAfterFaults;
            result.lateNewVersionRequests += tooLate ? 1 : 0;
        }
        Forward::recordRolloutAnswer(rolloutState, side, "lookup", answer.failed, answer.latency, wall);
        now += step;
        wall += std::chrono::duration_cast<Core::wall_time::duration>(step);
    }
    return result;
}

bool randomEvent(double probability, Core::random_engine &random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random) < probability;
}

void expectRolledBackWithinBounds(const simulated_rollout &result)
{
    EXPECT_EQ(result.outcome, rollout_outcome::RolledBack);
    EXPECT_LE(result.newVersionRequests, exposureShare * result.requests + exposureSlack);
    EXPECT_EQ(result.lateNewVersionRequests, 0);
}
} // namespace

TEST(Rollout, CompletesOnTimeWhenVersionIsHealthy)
{
    const simulated_rollout result = simulateRollout([](double, double, Core::random_engine &random) {
        return simulated_answer {false, std::chrono::milliseconds(std::uniform_int_distribution<>(7, 13)(random))};
    });
    EXPECT_EQ(result.outcome, rollout_outcome::Completed);
    EXPECT_LT(result.endedAfter, length);
}

TEST(Rollout, RollsBackWhenVersionFailsImmediately)
{
    expectRolledBackWithinBounds(simulateRollout([](double, double, Core::random_engine &random) {
        return simulated_answer {randomEvent(0.4, random), 10ms};
    }));
}

TEST(Rollout, RollsBackWhenVersionIsSlow)
{
    expectRolledBackWithinBounds(simulateRollout([](double, double, Core::random_engine &random) {
        return simulated_answer {false, randomEvent(0.5, random) ? 50ms : 10ms};
    }));
}

TEST(Rollout, RollsBackWhenVersionFailsLater)
{
    expectRolledBackWithinBounds(simulateRollout([](double progress, double, Core::random_engine &random) {
        return simulated_answer {progress > 0.4 && randomEvent(0.4, random), 10ms};
    }));
}

TEST(Rollout, RollsBackWhenVersionFailsUnderLoad)
{
    expectRolledBackWithinBounds(simulateRollout([](double, double share, Core::random_engine &random) {
        return simulated_answer {share > 0.2 && randomEvent(0.4, random), 10ms};
    }));
}

TEST(Rollout, KeepsOutcomeWhenItIsFinal)
{
    Forward::rollout_state rolloutState;
    rolloutState.order = {"s0", "v2", length};
    rolloutState.outcome = rollout_outcome::RolledBack;
    Forward::updateRollout(rolloutState, 1, Core::time_point {2000s}, Core::wall_time {});
    EXPECT_EQ(rolloutState.outcome, rollout_outcome::RolledBack);
    EXPECT_EQ(rolloutState.share, 0.0);
}

TEST(Rollout, ChoosesOnlyReplicasOfTheSelectedSide)
{
    Forward::forward_context context = Fixtures::makeContext();
    const Core::time_point now {1000s};
    Forward::replica_registration newVersionReplica = Fixtures::replicaRegistration("new", "s0", "a");
    newVersionReplica.version = "v2";
    Forward::applyRegistration(context.replicaTable, newVersionReplica, now);
    Forward::applyRegistration(context.replicaTable, Fixtures::replicaRegistration("old", "s0", "c"), now);
    Forward::rollout_state rolloutState;
    rolloutState.order = {"s0", "v2", length};
    const auto chosen = [&](version_side side) {
        const Forward::choice_filter filter {.rollout = &rolloutState, .side = side};
        const auto chosenIndex = Forward::chooseReplica(context.replicaTable, 0, filter, now, context.random);
        return context.replicaTable.services[0]->replicas[chosenIndex.value()].registration.id;
    };
    EXPECT_EQ(chosen(version_side::New), "new");
    EXPECT_EQ(chosen(version_side::Old), "old");
}

namespace
{
/// A rollout whose version is never found bad. All of its requests would be faulty if it were.
struct exposure_scenario {
    std::size_t daemons = 9;
    Core::duration length = 20s;
    double requestsPerSecond = 240.0;
    std::function<double(double progress)> traffic = [](double) {
        return 1.0;
    };
    Core::duration longestLearning = 500ms; ///< Daemons learn of the order within this time.
    std::optional<double> restartsAt {}; ///< Progress at which every other daemon restarts and forgets the rollout.
};

struct exposure_result {
    double requests = 0;
    double newVersionRequests = 0;
    std::optional<Core::duration> completedAfter;
};

/// Plays the daemons' decisions on virtual time. The first daemon writes the outcome, which is in force at once.
exposure_result playExposure(const exposure_scenario &scenario)
{
    Core::random_engine random(7);
    const Core::time_point start {1000s};
    Core::wall_time wall {std::chrono::hours(400'000)};
    std::vector<std::optional<Forward::rollout_state>> states(scenario.daemons);
    const Forward::rollout_order order {"s0", "v2", scenario.length};
    exposure_result result;
    constexpr Core::duration step = 1ms;
    double due = 0.0;
    for (Core::time_point now = start; now < start + scenario.length; now += step, wall += 1ms) {
        const double progress = Core::toSeconds(now - start) / Core::toSeconds(scenario.length);
        const bool isRestart = scenario.restartsAt
            && std::abs(progress - *scenario.restartsAt) < 0.5 / 1000 / Core::toSeconds(scenario.length);
        for (std::size_t daemon = 0; daemon < scenario.daemons; ++daemon) {
            const auto learnsAt = start + scenario.longestLearning * daemon / scenario.daemons;
            if (isRestart && daemon % 2 == 0) {
                // A peer tells the restarted daemon how old the order is.
                states[daemon] = Forward::startRollout(order, exposureShare, now, now);
                Forward::recordRolloutAge(*states[daemon], now - start, now);
            } else if (!states[daemon] && now >= learnsAt) {
                states[daemon] = Forward::startRollout(order, exposureShare, now, now);
            }
        }
        const auto sinceStart = std::chrono::duration_cast<std::chrono::milliseconds>(now - start).count();
        for (std::size_t daemon = 0; sinceStart % 100 == 0 && daemon < scenario.daemons; ++daemon) {
            if (states[daemon]) {
                Forward::updateRollout(*states[daemon], daemon + 1, now, wall);
            }
        }
        if (states[0] && states[0]->outcome == rollout_outcome::Completed && !result.completedAfter) {
            result.completedAfter = now - start;
        }
        due += scenario.requestsPerSecond * scenario.traffic(progress) * Core::toSeconds(step);
        for (; due >= 1.0; due -= 1.0) {
            auto &state = states[std::uniform_int_distribution<std::size_t>(0, scenario.daemons - 1)(random)];
            // Without the order the established version serves.
            version_side side = state ? Forward::pickSide(*state, random) : version_side::Old;
            side = result.completedAfter ? version_side::New : side;
            if (state) {
                Forward::recordRolloutRequest(*state, side);
            }
            ++result.requests;
            result.newVersionRequests += side == version_side::New ? 1 : 0;
        }
    }
    return result;
}

void expectWithinAllowedExposure(const exposure_scenario &scenario)
{
    const exposure_result result = playExposure(scenario);
    EXPECT_LE(result.newVersionRequests, exposureShare * result.requests + exposureSlack)
        << scenario.daemons << " daemons, " << Core::toSeconds(scenario.length) << " s, " << result.requests
        << " requests, completed after " << (result.completedAfter ? Core::toSeconds(*result.completedAfter) : -1.0);
}
} // namespace

/// Guards against a version that turns bad so late that no evidence helps: whatever it does, it has not had more than
/// the allowed share by the end of the rollout's time.
TEST(RolloutExposure, StaysWithinTheAllowedShareWhenTheVersionTurnsBadLate)
{
    for (const std::size_t daemons : {9U, 66U, 295U}) {
        for (const Core::duration rolloutLength : {Core::duration(8s), Core::duration(12s), Core::duration(30s)}) {
            const exposure_scenario scenario {.daemons = daemons, .length = rolloutLength};
            expectWithinAllowedExposure(scenario);
            const exposure_result result = playExposure(scenario);
            ASSERT_TRUE(result.completedAfter);
            EXPECT_LT(*result.completedAfter, rolloutLength) << "a good version is late";
        }
    }
}

/// Guards against a plan by time alone: most requests come when the new version has its largest share.
TEST(RolloutExposure, StaysWithinTheAllowedShareWhenTrafficComesLate)
{
    for (const double factor : {0.3, 2.0, 3.0}) {
        for (const double from : {0.5, 0.8, 0.9}) {
            exposure_scenario scenario;
            scenario.traffic = [=](double progress) {
                return progress > from ? factor : 1.0;
            };
            expectWithinAllowedExposure(scenario);
        }
    }
}

/// Guards against daemons that follow plans of their own since they learned of the order late or have restarted.
TEST(RolloutExposure, StaysWithinTheAllowedShareWhenDaemonsRestartOrLearnLate)
{
    for (const double restartsAt : {0.2, 0.7, 0.88, 0.95}) {
        expectWithinAllowedExposure({.restartsAt = restartsAt});
    }
    expectWithinAllowedExposure({.longestLearning = 6s});
}

/// Guards against a version that gets its full share before the order to use it is known, or after it was lost.
TEST(RolloutExposure, OnlyTheEstablishedVersionServesWhileNoOrderIsKnown)
{
    const Core::time_point now {1000s};
    const auto addReplicas = [&](Forward::forward_context &context, const std::string &version,
                                 std::int64_t startedAt) {
        for (const char *dataCentre : {"a", "b", "c"}) {
            auto registration = Fixtures::replicaRegistration(version + dataCentre, "s0", dataCentre);
            registration.version = version;
            registration.startedAt = startedAt;
            Forward::applyRegistration(context.replicaTable, registration, now);
        }
    };
    const auto versionsChosen = [&](Forward::forward_context &context) {
        std::set<std::string> versions;
        Forward::request_state request;
        const auto configuration = Fixtures::singleServiceConfiguration(Forward::retry_policy::Idempotent);
        request.plan = Forward::makePlan(configuration, configuration->routes.front(), 1s, context, now);
        request.subrequests.resize(1);
        for (int index = 0; index < 100; ++index) {
            if (const auto chosen = Forward::chooseReplicaFor(request, 0, Forward::attempt_kind::First, context, now)) {
                versions.insert(context.replicaTable.services[0]->replicas[*chosen].registration.version);
            }
        }
        return versions;
    };
    using versions = std::set<std::string>;
    Forward::forward_context known = Fixtures::makeContext();
    addReplicas(known, "v1", 100);
    addReplicas(known, "v2", 50);
    EXPECT_EQ(versionsChosen(known), versions {"v1"}) << "the one that was registered alone";
    Forward::forward_context restarted = Fixtures::makeContext();
    addReplicas(restarted, "v2", 200);
    restarted.replicaTable.services[0]->establishedVersion.clear(); // Both are read with one list.
    addReplicas(restarted, "v1", 100);
    EXPECT_EQ(versionsChosen(restarted), versions {"v1"}) << "the one that has run longest";
    restarted.rollouts["s0"] = Forward::startRollout({"s0", "v2", 10s}, exposureShare, now, now);
    restarted.rollouts["s0"].outcome = rollout_outcome::Completed;
    Forward::updateRollout(restarted.rollouts["s0"], 1, now, {});
    EXPECT_EQ(versionsChosen(restarted), versions {"v2"});
    restarted.rollouts.clear();
    for (const char *dataCentre : {"a", "b", "c"}) {
        Forward::removeReplica(restarted.replicaTable, std::string("v1") + dataCentre);
    }
    EXPECT_EQ(versionsChosen(restarted), versions {"v2"}) << "nothing else is left";
}
