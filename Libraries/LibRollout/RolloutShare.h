#pragma once

#include "LibCore/Time.h"

namespace Configuration
{
struct rollout_settings;
}

namespace Rollout
{
struct rollout_evidence;

/// Initial share of the new version, kept until it has enough answers.
inline constexpr double initialShare = 0.03;
/// Fraction of the rollout's time after which all traffic uses the new version.
inline constexpr double fullShareFraction = 0.9;

/// Returns the new version's share of traffic, 0 to 1. It is small until the new version has enough answers, then grows
/// with time to a plateau that leaves some traffic to the old version for comparison, and reaches 1 before the
/// deadline. It is 0 before the start, and after a rollback or a bad verdict. All daemons compute the same share from
/// the same document, time and evidence.
[[nodiscard]] double shareOfNewVersion(const Configuration::rollout_settings &rollout, const rollout_evidence &evidence,
                                       Core::wall_time now);
} // namespace Rollout
