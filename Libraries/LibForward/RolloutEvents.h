#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"
#include "LibRollout/VersionSide.h"

#include <cstdint>
#include <string>

namespace Forward
{
struct replica_state;
struct rollout_order;
struct rollout_state;

/// The target version's share of requests at `progress` (0 to 1) of a rollout's duration, as long as it appears
/// healthy and the allowed share permits it. It stays small until the rollout completes, since faults may show late. A
/// step before the last one reveals faults that occur only under load.
[[nodiscard]] double plannedShare(double progress, double allowedShare);

/// Starts the rollout of `order`, which the operator wrote at `startedAt` as far as this daemon knows.
[[nodiscard]] rollout_state startRollout(const rollout_order &order, double allowedShare, Core::time_point startedAt,
                                         Core::time_point now);

/// Records that another daemon has known the order for `age`, so that all daemons follow the same plan.
void recordRolloutAge(rollout_state &rollout, Core::duration age, Core::time_point now);

/// Returns when the rollout completes at the latest if the version appears healthy and the remaining requests fit into
/// the allowed share. From then on this must be checked often.
[[nodiscard]] Core::time_point latestCompletion(const rollout_state &rollout);

/// Counts a request that this daemon sends to a replica, or takes back one that reached none.
void recordRolloutRequest(rollout_state &rollout, Rollout::version_side side);
void recordUnsentRolloutRequest(rollout_state &rollout, Rollout::version_side side);

/// Randomly picks the side that serves a request, according to the target version's share and to what it has received.
[[nodiscard]] Rollout::version_side pickSide(const rollout_state &rollout, Core::random_engine &random);

/// The side that a replica is on.
[[nodiscard]] Rollout::version_side sideOf(const rollout_state &rollout, const replica_state &replica);

/// Counts a response or a failure of a replica. `wall` is a wall-clock time that does not jump.
void recordRolloutAnswer(rollout_state &rollout, Rollout::version_side side, const std::string &route, bool failed,
                         Core::duration latency, Core::wall_time wall);

/// Evaluates the evidence and sets share and outcome. A final outcome never changes.
void updateRollout(rollout_state &rollout, std::uint64_t incarnation, Core::time_point now, Core::wall_time wall);
} // namespace Forward
