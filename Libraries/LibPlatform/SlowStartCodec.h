#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Platform
{
struct warmth_message;

/// Encodes a message as compact JSON.
[[nodiscard]] std::string encodeWarmth(const warmth_message &message);

/// Decodes a peer's message. Returns nothing if it is malformed.
[[nodiscard]] std::optional<warmth_message> decodeWarmth(std::string_view text);
} // namespace Platform
