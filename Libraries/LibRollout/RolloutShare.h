#pragma once

#include "LibCore/Time.h"

namespace Configuration
{
struct rollout_settings;
}

namespace Rollout
{
struct rollout_evidence;

/// Share of the new version until it has answered enough.
inline constexpr double firstShare = 0.03;
/// Part of the time at whose end all traffic uses the new version.
inline constexpr double movedBy = 0.9;

/// Returns the new version's share of traffic, 0 to 1: small until it has answered enough, then growing with time, the
/// old version keeping a little to compare with, and all before the deadline. 0 once it is known to be bad. Every
/// daemon computes the same from the same document, time and evidence.
[[nodiscard]] double shareOfNewVersion(const Configuration::rollout_settings &rollout, const rollout_evidence &evidence,
                                       Core::wall_time now);
} // namespace Rollout
