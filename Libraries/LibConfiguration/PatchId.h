#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Configuration
{
/// Returns the number that a patch id was first made against, or nothing if the id is malformed. An id is that number,
/// a hyphen, and 1 to 200 letters, digits, dots, hyphens and underscores, as in 41-3f9c2a. The number tells whether the
/// kept ids reach far enough back to say that the patch was never applied.
[[nodiscard]] std::optional<std::uint64_t> firstNumberOf(std::string_view patchId);

/// Makes a patch id for a patch against `firstNumber` with a unique token.
[[nodiscard]] std::string makePatchId(std::uint64_t firstNumber, std::string_view token);
} // namespace Configuration
