#pragma once

#include "LibRollout/RolloutEvidence.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Rollout
{
/// Encodes as many rows as fit into `maximumBytes`, starting after the row of incarnation `after` and wrapping around
/// at the end. Updates `after`, so that successive calls cycle through all rows. Each message contains the verdict.
[[nodiscard]] std::string encodeEvidence(const rollout_evidence &evidence, std::size_t maximumBytes,
                                         std::uint64_t &after);

/// Decodes a message of another daemon, or returns nothing if it is malformed.
[[nodiscard]] std::optional<rollout_evidence> decodeEvidence(std::string_view text);
} // namespace Rollout
