#include "LibForward/RolloutEvents.h"

#include "LibForward/ReplicaState.h"
#include "LibForward/RolloutTrack.h"
#include "LibRollout/EvaluateEvidence.h"
#include "LibRollout/Evidence.h"
#include "LibRollout/Observation.h"
#include "LibRollout/Verdict.h"

#include <algorithm>
#include <random>

namespace Forward
{
static constexpr double trialShare = 0.05; ///< With the step below, under the tenth that a bad version may get.
static constexpr double trialUntil = 0.72; ///< Part of the time.
static constexpr double loadedShare = 0.4; ///< Enough load to show faults that need it.
static constexpr double loadedUntil = 0.82;
static constexpr double completeFrom = 0.9; ///< Every daemon has moved by then, also those that heard of it late.

double plannedShare(double progress)
{
    if (progress < trialUntil) {
        return trialShare;
    }
    return progress < loadedUntil ? loadedShare : 1.0;
}

Rollout::version_side drawSide(const rollout_track &track, Core::random_engine &random)
{
    const bool isNew = std::uniform_real_distribution<double>(0.0, 1.0)(random) < track.share;
    return isNew ? Rollout::version_side::New : Rollout::version_side::Old;
}

Rollout::version_side sideOf(const rollout_track &track, const replica_state &replica)
{
    return replica.entry.version == track.order.targetVersion ? Rollout::version_side::New : Rollout::version_side::Old;
}

void recordRolloutAnswer(rollout_track &track, Rollout::version_side side, const std::string &route, bool failed,
                         Core::duration latency, Core::wall_time wall)
{
    if (track.outcome == rollout_outcome::Running) {
        Rollout::recordAnswer(track.own, {side, track.share, route, failed, latency}, wall);
    }
}

void updateRollout(rollout_track &track, std::uint64_t incarnation, Core::time_point now, Core::wall_time wall)
{
    if (track.outcome == rollout_outcome::Running) {
        Rollout::mergeDaemon(track.held, incarnation, track.own.counts);
        track.held.bad = Rollout::evaluateEvidence(track.held, wall) == Rollout::verdict::Bad;
        const double length = std::max(Core::toSeconds(track.order.length), 0.001);
        const double progress = Core::toSeconds(now - track.startedAt) / length;
        track.share = plannedShare(progress);
        if (track.held.bad) {
            track.outcome = rollout_outcome::RolledBack;
        } else if (progress >= completeFrom) {
            track.outcome = rollout_outcome::Completed;
        }
    }
    if (track.outcome == rollout_outcome::RolledBack) {
        track.share = 0.0;
    } else if (track.outcome == rollout_outcome::Completed) {
        track.share = 1.0;
    }
}
} // namespace Forward
