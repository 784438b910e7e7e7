#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Configuration
{
/// Returns the configuration number that a patch was originally based on, or nothing if the id is malformed. An id
/// consists of that number, a hyphen, and 1 to 200 letters, digits, dots, hyphens and underscores, as in 41-3f9c2a. The
/// number shows whether the retained ids go back far enough to prove that the patch was never applied.
[[nodiscard]] std::optional<std::uint64_t> originalBaseNumber(std::string_view patchId);

/// Builds the id of a patch that is based on `originalNumber`. The token must be unique.
[[nodiscard]] std::string makePatchId(std::uint64_t originalNumber, std::string_view token);
} // namespace Configuration
