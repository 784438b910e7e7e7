#pragma once

#include "LibCore/Time.h"
#include "LibRollout/Observation.h"
#include "LibRollout/OwnEvidence.h"
#include "LibRollout/RolloutEvidence.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Rollout
{
/// Rows that are exchanged for one rollout. With more daemons the same sample of them is kept everywhere.
inline constexpr std::size_t mostDaemons = 64;

/// Returns the number that stands for a route or a data centre between daemons.
[[nodiscard]] std::uint32_t nameKey(std::string_view name);

/// Counts one query at this daemon. It is faulty if it failed or was slow against the old version at this daemon.
void recordAnswer(own_evidence &own, const observation &seen, Core::wall_time now);

/// Merges what another daemon knows: the larger of each count. Commutative, associative and idempotent.
void mergeEvidence(rollout_evidence &held, const rollout_evidence &other);
/// Merges one daemon's row alike.
void mergeDaemon(rollout_evidence &held, std::uint64_t incarnation, const daemon_evidence &row);
} // namespace Rollout
