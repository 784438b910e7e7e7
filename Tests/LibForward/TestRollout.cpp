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
/// One answer of a replica.
struct played_answer {
    bool failed = false;
    Core::duration latency = 10ms;
};

/// What a played rollout came to.
struct played_rollout {
    rollout_outcome outcome = rollout_outcome::Running;
    Core::duration endedAfter {};
    int all = 0;
    int ofNew = 0;
    int badAnswers = 0;
    int newAfterFiftyBad = 0; ///< Requests to the new version later than the allowed time after its 50th bad answer.
};

constexpr Core::duration length = 12s;
constexpr Core::duration allowedAfterFault = 5s;
constexpr int countedFaults = 50;
constexpr int requestsPerSecond = 240;
constexpr double exposureShare = 0.1;
constexpr int exposureSlack = 50;

/// Three daemons that share their evidence every 300 ms play a rollout of 12 s. `newVersion` answers for the new one.
played_rollout
play(const std::function<played_answer(double progress, double share, Core::random_engine &)> &newVersion)
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
    played_rollout seen;
    const Core::time_point start = now;
    Core::time_point fiftiethBad = Core::time_point::max();
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
            if (seen.outcome == rollout_outcome::Running && rolloutStates[0].outcome != rollout_outcome::Running) {
                seen.outcome = rolloutStates[0].outcome;
                seen.endedAfter = now - start;
            }
        }
        Forward::rollout_state &rolloutState = rolloutStates[static_cast<std::size_t>(index) % daemons];
        const version_side side = Forward::pickSide(rolloutState, random);
        played_answer answer {false, std::chrono::duration_cast<Core::duration>(10ms * std::exp(spread(random)))};
        if (now - start <= length) {
            ++seen.all;
            seen.ofNew += side == version_side::New ? 1 : 0;
        }
        if (side == version_side::New) {
            const double progress = Core::toSeconds(now - start) / Core::toSeconds(length);
            answer = newVersion(progress, rolloutState.share, random);
            seen.badAnswers += answer.failed || answer.latency > 25ms ? 1 : 0;
            fiftiethBad = seen.badAnswers == countedFaults ? std::min(fiftiethBad, now) : fiftiethBad;
            const bool tooLate = fiftiethBad != Core::time_point::max() && now - fiftiethBad > allowedAfterFault;
            seen.newAfterFiftyBad += tooLate ? 1 : 0;
        }
        Forward::recordRolloutAnswer(rolloutState, side, "lookup", answer.failed, answer.latency, wall);
        now += step;
        wall += std::chrono::duration_cast<Core::wall_time::duration>(step);
    }
    return seen;
}

bool chance(double part, Core::random_engine &random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random) < part;
}

void expectRolledBackInBounds(const played_rollout &seen)
{
    EXPECT_EQ(seen.outcome, rollout_outcome::RolledBack);
    EXPECT_LE(seen.ofNew, exposureShare * seen.all + exposureSlack);
    EXPECT_EQ(seen.newAfterFiftyBad, 0);
}
} // namespace

TEST(Rollout, GoodVersionIsCompletedInTime)
{
    const played_rollout seen = play([](double, double, Core::random_engine &random) {
        return played_answer {false, std::chrono::milliseconds(std::uniform_int_distribution<>(7, 13)(random))};
    });
    EXPECT_EQ(seen.outcome, rollout_outcome::Completed);
    EXPECT_LT(seen.endedAfter, length);
}

TEST(Rollout, VersionThatFailsAtOnceIsRolledBack)
{
    expectRolledBackInBounds(play([](double, double, Core::random_engine &random) {
        return played_answer {chance(0.4, random), 10ms};
    }));
}

TEST(Rollout, VersionThatIsSlowIsRolledBack)
{
    expectRolledBackInBounds(play([](double, double, Core::random_engine &random) {
        return played_answer {false, chance(0.5, random) ? 50ms : 10ms};
    }));
}

TEST(Rollout, VersionThatFailsLaterIsRolledBack)
{
    expectRolledBackInBounds(play([](double progress, double, Core::random_engine &random) {
        return played_answer {progress > 0.4 && chance(0.4, random), 10ms};
    }));
}

TEST(Rollout, VersionThatFailsUnderLoadIsRolledBack)
{
    expectRolledBackInBounds(play([](double, double share, Core::random_engine &random) {
        return played_answer {share > 0.2 && chance(0.4, random), 10ms};
    }));
}

TEST(Rollout, FinalOutcomeStays)
{
    Forward::rollout_state rolloutState;
    rolloutState.order = {"s0", "v2", length};
    rolloutState.outcome = rollout_outcome::RolledBack;
    Forward::updateRollout(rolloutState, 1, Core::time_point {2000s}, Core::wall_time {});
    EXPECT_EQ(rolloutState.outcome, rollout_outcome::RolledBack);
    EXPECT_EQ(rolloutState.share, 0.0);
}

TEST(Rollout, SideDecidesWhichReplicasMayServe)
{
    Forward::forward_context context = Fixtures::makeContext();
    const Core::time_point now {1000s};
    Forward::replica_registration fresh = Fixtures::replicaEntry("new", "s0", "a");
    fresh.version = "v2";
    Forward::applyRegistration(context.replicaTable, fresh, now);
    Forward::applyRegistration(context.replicaTable, Fixtures::replicaEntry("old", "s0", "c"), now);
    Forward::rollout_state rolloutState;
    rolloutState.order = {"s0", "v2", length};
    const auto chosen = [&](version_side side) {
        const Forward::choice_filter filter {.rollout = &rolloutState, .side = side};
        const auto place = Forward::chooseReplica(context.replicaTable, 0, filter, now, context.random);
        return context.replicaTable.services[0]->replicas[place.value()].registration.id;
    };
    EXPECT_EQ(chosen(version_side::New), "new");
    EXPECT_EQ(chosen(version_side::Old), "old");
}
