#pragma once

#include "LibRollout/RolloutEvidence.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Rollout
{
/// Encodes as many rows as fit into `mostBytes`, from the row after incarnation `after` on and round the end, so that
/// calls in turn send them all. The verdict always goes along.
[[nodiscard]] std::string encodeEvidence(const rollout_evidence &evidence, std::size_t mostBytes, std::uint64_t &after);

/// Decodes what another daemon sent, or returns nothing if it is malformed.
[[nodiscard]] std::optional<rollout_evidence> decodeEvidence(std::string_view text);
} // namespace Rollout
