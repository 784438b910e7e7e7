#pragma once

#include "LibCore/Time.h"
#include "LibRollout/Verdict.h"

namespace Rollout
{
struct rollout_evidence;

/// Judges the new version. If it were like the old one, each faulty answer would be the new version's with the
/// probability of its share when the query was drawn, whatever the time, load, route or data centre. The verdict is bad
/// when the new version has so many of the faulty answers that chance explains it less than once in 10^7 times in the
/// shortest windows or 10^6 times in longer ones, for one route or for all together. A verdict in the evidence stays.
[[nodiscard]] verdict judgeEvidence(const rollout_evidence &evidence, Core::wall_time now);
} // namespace Rollout
