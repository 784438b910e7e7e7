#pragma once

#include "LibCore/Time.h"
#include "LibRollout/Verdict.h"

namespace Rollout
{
struct rollout_evidence;

/// Evaluates the new version by a statistical test. If it is no different from the old version, each faulty answer
/// belongs to the new version with a probability of its share at the start of the query, regardless of time, load,
/// route and data centre. The verdict is bad if the new version has so many of the faulty answers that the probability
/// by chance is less than 1 in 10^7 in the shortest windows or 1 in 10^6 in longer ones, for one route or for all
/// routes together. A bad verdict that is already in the evidence is kept.
[[nodiscard]] verdict evaluateEvidence(const rollout_evidence &evidence, Core::wall_time now);
} // namespace Rollout
