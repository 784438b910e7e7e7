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
/// Maximum number of daemon rows exchanged for one rollout. In a larger fleet all daemons keep the same sample.
inline constexpr std::size_t maximumDaemonRows = 64;

/// Returns the hash that identifies a route or a data centre in messages between daemons.
[[nodiscard]] std::uint32_t nameKey(std::string_view name);

/// Records a query at this daemon. It counts as faulty if it failed or was slow compared to the old version at this
/// daemon.
void recordAnswer(own_evidence &own, const observation &observed, Core::wall_time now);

/// Merges the evidence of another daemon by the maximum of each count. Commutative, associative and idempotent.
void mergeEvidence(rollout_evidence &target, const rollout_evidence &other);
/// Merges the row of one daemon in the same way.
void mergeDaemon(rollout_evidence &target, std::uint64_t incarnation, const daemon_evidence &row);
} // namespace Rollout
