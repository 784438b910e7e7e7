#include "LibForward/RolloutEvents.h"

#include "LibForward/ReplicaState.h"
#include "LibForward/RolloutState.h"
#include "LibRollout/EvaluateEvidence.h"
#include "LibRollout/Evidence.h"
#include "LibRollout/Observation.h"
#include "LibRollout/Verdict.h"

#include <algorithm>
#include <random>

namespace Forward
{
static constexpr double canaryShare = 0.05; ///< With the step below, less than the allowed tenth of requests.
static constexpr double canaryUntil = 0.72; ///< Fraction of the rollout's duration.
static constexpr double intermediateShare = 0.4; ///< Enough load to reveal faults that depend on it.
static constexpr double intermediateUntil = 0.82;
static constexpr double completionProgress = 0.9; ///< Leaves time for daemons that learned of the rollout late.

double plannedShare(double progress)
{
    if (progress < canaryUntil) {
        return canaryShare;
    }
    return progress < intermediateUntil ? intermediateShare : 1.0;
}

Rollout::version_side pickSide(const rollout_state &rollout, Core::random_engine &random)
{
    const bool isNew = std::uniform_real_distribution<double>(0.0, 1.0)(random) < rollout.share;
    return isNew ? Rollout::version_side::New : Rollout::version_side::Old;
}

Rollout::version_side sideOf(const rollout_state &rollout, const replica_state &replica)
{
    return replica.registration.version == rollout.order.targetVersion ? Rollout::version_side::New
                                                                       : Rollout::version_side::Old;
}

void recordRolloutAnswer(rollout_state &rollout, Rollout::version_side side, const std::string &route, bool failed,
                         Core::duration latency, Core::wall_time wall)
{
    if (rollout.outcome == rollout_outcome::Running) {
        Rollout::recordAnswer(rollout.localEvidence, {side, rollout.share, route, failed, latency}, wall);
    }
}

void updateRollout(rollout_state &rollout, std::uint64_t incarnation, Core::time_point now, Core::wall_time wall)
{
    if (rollout.outcome == rollout_outcome::Running) {
        Rollout::mergeDaemon(rollout.mergedEvidence, incarnation, rollout.localEvidence.counts);
        rollout.mergedEvidence.bad = Rollout::evaluateEvidence(rollout.mergedEvidence, wall) == Rollout::verdict::Bad;
        const double length = std::max(Core::toSeconds(rollout.order.length), 0.001);
        const double progress = Core::toSeconds(now - rollout.startedAt) / length;
        rollout.share = plannedShare(progress);
        if (rollout.mergedEvidence.bad) {
            rollout.outcome = rollout_outcome::RolledBack;
        } else if (progress >= completionProgress) {
            rollout.outcome = rollout_outcome::Completed;
        }
    }
    if (rollout.outcome == rollout_outcome::RolledBack) {
        rollout.share = 0.0;
    } else if (rollout.outcome == rollout_outcome::Completed) {
        rollout.share = 1.0;
    }
}
} // namespace Forward
