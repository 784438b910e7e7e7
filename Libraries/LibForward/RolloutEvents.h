#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"
#include "LibRollout/VersionSide.h"

#include <cstdint>
#include <string>

namespace Forward
{
struct replica_state;
struct rollout_track;

/// The target version's part of requests after `progress` (0 to 1) of a rollout's time, if nothing speaks against it.
/// It stays small for most of the time, since faults may show late and a bad version may get only a tenth of all
/// requests; a step before the last shows faults under load.
[[nodiscard]] double plannedShare(double progress);

/// Draws the side that serves one request.
[[nodiscard]] Rollout::version_side drawSide(const rollout_track &track, Core::random_engine &random);

/// The side that a replica is on.
[[nodiscard]] Rollout::version_side sideOf(const rollout_track &track, const replica_state &replica);

/// Counts one answer, or one failure of a replica. `wall` is a civil time that does not jump.
void recordRolloutAnswer(rollout_track &track, Rollout::version_side side, const std::string &route, bool failed,
                         Core::duration latency, Core::wall_time wall);

/// Judges the evidence and sets share and outcome. A final outcome stays.
void updateRollout(rollout_track &track, std::uint64_t incarnation, Core::time_point now, Core::wall_time wall);
} // namespace Forward
