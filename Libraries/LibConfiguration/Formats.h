#pragma once

#include <string_view>

namespace Configuration
{
/// Returns whether a text is a valid name: 1 to 128 letters, digits, dots, hyphens and underscores.
[[nodiscard]] bool isName(std::string_view text);
/// Returns whether a text is an IP address and a port from 1 to 65535, as in 127.0.0.1:9000 or [::1]:9000.
[[nodiscard]] bool isAddress(std::string_view text);
/// Returns whether a text is a SHA-256 hash in 64 lower-case hexadecimal digits.
[[nodiscard]] bool isKeyHash(std::string_view text);
} // namespace Configuration
