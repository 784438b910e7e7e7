#pragma once

#include "LibConfiguration/ParsedDocument.h"

#include <cstdint>
#include <string_view>

namespace Configuration
{
/// Returns the higher of two configuration numbers. This lattice join is commutative, associative and idempotent, so
/// documents may arrive late, out of order and more than once.
[[nodiscard]] std::uint64_t joinNumbers(std::uint64_t left, std::uint64_t right);

/// Returns whether a VM with configuration number `current` in force must adopt a document with number `offered`.
[[nodiscard]] bool shouldAdopt(std::uint64_t current, std::uint64_t offered);

/// Parses a document received from the store or a peer. An invalid or unnumbered document yields findings and must not
/// be adopted.
[[nodiscard]] parsed_document parseOfferedDocument(std::string_view text);
} // namespace Configuration
