#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Configuration
{
struct configuration_document;
}

namespace Teams
{
/// Returns the lower-case hexadecimal SHA-256 of a key, as stored in the configuration.
[[nodiscard]] std::string hashKey(std::string_view key);

/// Returns the name of the team that the key belongs to, or nothing.
[[nodiscard]] std::optional<std::string> findTeam(const Configuration::configuration_document &document,
                                                  std::string_view key);

/// Compares two secrets in time that depends only on their lengths, to prevent timing attacks.
[[nodiscard]] bool secretsEqual(std::string_view left, std::string_view right);
} // namespace Teams
