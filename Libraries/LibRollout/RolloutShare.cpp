#include "LibRollout/RolloutShare.h"

#include "LibConfiguration/RolloutSettings.h"
#include "LibRollout/EvaluateEvidence.h"
#include "LibRollout/RolloutEvidence.h"

#include <algorithm>

namespace Rollout
{
/// Fraction of the rollout's time after which the share grows even with too few answers.
static constexpr double patience = 0.3;
/// Fractions of the time between which the share stays at `plateauShare`.
static constexpr double plateauFrom = 0.5;
static constexpr double plateauUntil = 0.75;
/// Gives most of the traffic to the new version and enough to the old one to detect a late fault by comparison.
static constexpr double plateauShare = 0.6;
/// Minimum number of answers of the new version on each route before the share grows.
static constexpr std::uint32_t enoughAnswers = 200;

static bool hasEnough(const rollout_evidence &evidence)
{
    std::map<std::uint32_t, std::uint32_t> answers;
    for (const auto &[incarnation, daemon] : evidence.daemons) {
        for (const auto &[route, counts] : daemon.routes) {
            for (const auto &[window, part] : counts.windows.back()) {
                answers[route] += part.newTotal;
            }
        }
    }
    return !answers.empty()
        && std::all_of(answers.begin(), answers.end(), [](const auto &entry) { return entry.second >= enoughAnswers; });
}

static double timedShare(double progress)
{
    if (progress < plateauUntil) {
        return std::min(plateauShare, firstShare + (plateauShare - firstShare) * progress / plateauFrom);
    }
    const double rest = (progress - plateauUntil) / (movedBy - plateauUntil);
    return std::min(1.0, plateauShare + (1.0 - plateauShare) * rest);
}

double shareOfNewVersion(const Configuration::rollout_settings &rollout, const rollout_evidence &evidence,
                         Core::wall_time now)
{
    if (rollout.takenBack || now < rollout.start || judgeEvidence(evidence, now) == verdict::Bad) {
        return 0.0;
    }
    const double length = std::max(1.0, Core::toSeconds(rollout.deadline - rollout.start));
    const double progress = Core::toSeconds(now - rollout.start) / length;
    const bool waits = progress < patience && !hasEnough(evidence);
    return waits ? firstShare : timedShare(progress);
}
} // namespace Rollout
