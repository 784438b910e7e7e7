#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Platform
{
struct slow_start_message;

/// Encodes a message as compact JSON.
[[nodiscard]] std::string encodeSlowStart(const slow_start_message &message);

/// Decodes a peer's message. Returns nothing if it is malformed.
[[nodiscard]] std::optional<slow_start_message> decodeSlowStart(std::string_view text);
} // namespace Platform
