#include "Fixtures.h"

#include "LibForward/ChoiceFilter.h"
#include "LibForward/ChooseReplica.h"
#include "LibForward/ReplicaList.h"
#include "LibForward/RolloutEvents.h"
#include "LibForward/RolloutState.h"
#include "LibRollout/Evidence.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>

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
        rolloutState.order = {"s0", "v2", length};
        rolloutState.startedAt = now;
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
