#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"
#include "LibRollout/VersionSide.h"

#include <cstdint>
#include <string>

namespace Forward
{
struct replica_state;
struct rollout_state;

/// The target version's share of requests at `progress` (0 to 1) of a rollout's duration, as long as it appears
/// healthy. It stays small for most of the time, since faults may show late and a failing version may receive at most a
/// tenth of all requests. An intermediate step before the last one reveals faults that occur only under load.
[[nodiscard]] double plannedShare(double progress);

/// Randomly picks the side that serves a request, according to the target version's share.
[[nodiscard]] Rollout::version_side pickSide(const rollout_state &rollout, Core::random_engine &random);

/// The side that a replica is on.
[[nodiscard]] Rollout::version_side sideOf(const rollout_state &rollout, const replica_state &replica);

/// Counts a response or a failure of a replica. `wall` is a wall-clock time that does not jump.
void recordRolloutAnswer(rollout_state &rollout, Rollout::version_side side, const std::string &route, bool failed,
                         Core::duration latency, Core::wall_time wall);

/// Evaluates the evidence and sets share and outcome. A final outcome never changes.
void updateRollout(rollout_state &rollout, std::uint64_t incarnation, Core::time_point now, Core::wall_time wall);
} // namespace Forward
