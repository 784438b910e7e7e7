#include "LibForward/RolloutEvents.h"

#include "LibForward/ReplicaState.h"
#include "LibForward/RolloutState.h"
#include "LibRollout/EvaluateEvidence.h"
#include "LibRollout/Evidence.h"
#include "LibRollout/ExposureBudget.h"
#include "LibRollout/Observation.h"
#include "LibRollout/Verdict.h"

#include <algorithm>
#include <random>

namespace Forward
{
static constexpr double canaryFraction = 0.4; ///< Share of the new version at first, as a fraction of the allowed one.
static constexpr double canaryUntil = 0.78; ///< Fraction of the rollout's duration.
static constexpr double intermediateShare = 0.4; ///< Enough load to reveal faults that depend on it.
static constexpr double intermediateUntil = 0.86;
/// Fraction of the allowed share that is used before the rollout completes. The rest is left for the requests between
/// its completion and the end of its time, since a version may turn bad even then.
static constexpr double plannedFraction = 0.6;
static constexpr double strictFraction = 0.8; ///< Of the allowed share; reached only if the traffic falls at once.
/// Traffic may grow until the end of the rollout's time.
static constexpr double trafficGrowth = 1.3;
/// With fewer requests a daemon knows too little of the traffic to complete before the latest time.
static constexpr std::uint64_t minimumRequestsToComplete = 100;
static constexpr Core::duration rateInterval = std::chrono::milliseconds(300);
/// Time to write the outcome, and for daemons that learned of the order late.
static constexpr double remainingFraction = 0.03;
static constexpr Core::duration minimumRemainingTime = std::chrono::milliseconds(700);

double plannedShare(double progress, double allowedShare)
{
    const bool isIntermediate = progress >= canaryUntil && progress < intermediateUntil;
    return isIntermediate ? intermediateShare : canaryFraction * allowedShare;
}

rollout_state startRollout(const rollout_order &order, double allowedShare, Core::time_point startedAt,
                           Core::time_point now)
{
    rollout_state rollout;
    rollout.order = order;
    rollout.allowedShare = allowedShare;
    rollout.startedAt = startedAt;
    rollout.knownSince = now;
    rollout.measuredAt = now;
    rollout.share = plannedShare(0.0, allowedShare);
    return rollout;
}

void recordRolloutAge(rollout_state &rollout, Core::duration age, Core::time_point now)
{
    rollout.startedAt = std::min(rollout.startedAt, now - age);
}

Core::time_point latestCompletion(const rollout_state &rollout)
{
    const Core::duration length = rollout.order.length;
    const auto reserve = std::max(std::chrono::duration_cast<Core::duration>(length * remainingFraction),
                                  std::min(minimumRemainingTime, length / 10));
    return rollout.startedAt + length - reserve;
}

void recordRolloutRequest(rollout_state &rollout, Rollout::version_side side)
{
    ++rollout.sent.total;
    rollout.sent.newVersion += side == Rollout::version_side::New ? 1 : 0;
}

void recordUnsentRolloutRequest(rollout_state &rollout, Rollout::version_side side)
{
    rollout.sent.total -= rollout.sent.total > 0 ? 1 : 0;
    rollout.sent.newVersion -= side == Rollout::version_side::New && rollout.sent.newVersion > 0 ? 1 : 0;
}

Rollout::version_side pickSide(const rollout_state &rollout, Core::random_engine &random)
{
    const bool isNew = std::uniform_real_distribution<double>(0.0, 1.0)(random) < rollout.share;
    const bool isAllowed = rollout.outcome == rollout_outcome::Completed
        || Rollout::mayExpose(rollout.sent, rollout.allowedShare * strictFraction);
    return isNew && isAllowed ? Rollout::version_side::New : Rollout::version_side::Old;
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

static double progressOf(const rollout_state &rollout, Core::time_point now)
{
    const double length = std::max(Core::toSeconds(rollout.order.length), 0.001);
    return Core::toSeconds(now - rollout.startedAt) / length;
}

static void measureRate(rollout_state &rollout, Core::time_point now)
{
    if (now - rollout.measuredAt < rateInterval) {
        return;
    }
    const std::uint64_t sent = rollout.sent.total - std::min(rollout.sentUntilMeasured, rollout.sent.total);
    rollout.requestRate = static_cast<double>(sent) / Core::toSeconds(now - rollout.measuredAt);
    rollout.measuredAt = now;
    rollout.sentUntilMeasured = rollout.sent.total;
}

static double currentShare(const rollout_state &rollout, Core::time_point now)
{
    const double planned = plannedShare(progressOf(rollout, now), rollout.allowedShare);
    const double expected = rollout.requestRate * Core::toSeconds(rateInterval);
    return Rollout::affordableShare(planned, rollout.sent, expected, rollout.allowedShare * plannedFraction);
}

/// Whether the rest of the requests still fits into the allowed share.
static bool mayComplete(const rollout_state &rollout, Core::time_point now)
{
    const bool isLatest = now >= latestCompletion(rollout);
    const Core::duration left = rollout.startedAt + rollout.order.length - now;
    if (left <= Core::duration {} || (isLatest && rollout.sent.total < minimumRequestsToComplete)) {
        return true;
    }
    if (progressOf(rollout, now) < intermediateUntil || rollout.sent.total < minimumRequestsToComplete) {
        return false;
    }
    const double known = std::max(Core::toSeconds(now - rollout.knownSince), Core::toSeconds(rateInterval));
    const double rate = std::max(static_cast<double>(rollout.sent.total) / known, rollout.requestRate);
    return Rollout::mayExposeRest(rollout.sent, rate * Core::toSeconds(left) * trafficGrowth, rollout.allowedShare);
}

void updateRollout(rollout_state &rollout, std::uint64_t incarnation, Core::time_point now, Core::wall_time wall)
{
    if (rollout.outcome == rollout_outcome::Running) {
        Rollout::mergeDaemon(rollout.mergedEvidence, incarnation, rollout.localEvidence.counts);
        rollout.mergedEvidence.bad = Rollout::evaluateEvidence(rollout.mergedEvidence, wall) == Rollout::verdict::Bad;
        measureRate(rollout, now);
        rollout.share = currentShare(rollout, now);
        if (rollout.mergedEvidence.bad) {
            rollout.outcome = rollout_outcome::RolledBack;
        } else if (mayComplete(rollout, now)) {
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
