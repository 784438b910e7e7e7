#include "LibRollout/RolloutShare.h"

#include "LibConfiguration/RolloutSettings.h"
#include "LibRollout/EvaluateEvidence.h"
#include "LibRollout/RolloutEvidence.h"

#include <algorithm>

namespace Rollout
{
/// Fraction of the rollout's time after which the share grows even with too few answers.
static constexpr double maximumInitialFraction = 0.3;
/// Fractions of the time between which the share stays at `plateauShare`.
static constexpr double plateauStart = 0.5;
static constexpr double plateauEnd = 0.75;
/// Gives most of the traffic to the new version and enough to the old one to detect a late fault by comparison.
static constexpr double plateauShare = 0.6;
/// Minimum number of answers of the new version on each route before the share grows.
static constexpr std::uint32_t minimumAnswers = 200;

static bool hasEnoughAnswers(const rollout_evidence &evidence)
{
    std::map<std::uint32_t, std::uint32_t> answers;
    for (const auto &[incarnation, daemon] : evidence.daemons) {
        for (const auto &[route, counts] : daemon.routes) {
            for (const auto &[window, windowCounts] : counts.windows.back()) {
                answers[route] += windowCounts.newTotal;
            }
        }
    }
    return !answers.empty() && std::all_of(answers.begin(), answers.end(), [](const auto &entry) {
        return entry.second >= minimumAnswers;
    });
}

static double shareAt(double progress)
{
    if (progress < plateauEnd) {
        return std::min(plateauShare, initialShare + (plateauShare - initialShare) * progress / plateauStart);
    }
    const double progressAfterPlateau = (progress - plateauEnd) / (fullShareFraction - plateauEnd);
    return std::min(1.0, plateauShare + (1.0 - plateauShare) * progressAfterPlateau);
}

double shareOfNewVersion(const Configuration::rollout_settings &rollout, const rollout_evidence &evidence,
                         Core::wall_time now)
{
    if (rollout.takenBack || now < rollout.start || evaluateEvidence(evidence, now) == verdict::Bad) {
        return 0.0;
    }
    const double length = std::max(1.0, Core::toSeconds(rollout.deadline - rollout.start));
    const double progress = Core::toSeconds(now - rollout.start) / length;
    const bool isInitialPhase = progress < maximumInitialFraction && !hasEnoughAnswers(evidence);
    return isInitialPhase ? initialShare : shareAt(progress);
}
} // namespace Rollout
