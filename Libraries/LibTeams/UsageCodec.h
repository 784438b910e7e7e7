#pragma once

#include "LibTeams/UsageMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Teams
{
/// Returns the key that identifies a team in messages: a 24-bit hash of its name.
[[nodiscard]] std::uint32_t teamKey(std::string_view name);

/// Returns the nearest value towards zero that a message can represent.
[[nodiscard]] double roundRate(double rate);

/// Encodes a message in 7 bytes per team and epoch. Rates must have been rounded by `roundRate()`.
[[nodiscard]] std::string encodeUsage(const usage_message &message);

/// Decodes a message from another daemon, or returns nothing if it is malformed.
[[nodiscard]] std::optional<usage_message> decodeUsage(std::string_view text);
} // namespace Teams
