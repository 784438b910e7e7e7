#pragma once

#include "LibConfiguration/ParsedDocument.h"

#include <cstdint>
#include <string_view>

namespace Configuration
{
/// Joins two numbers that a VM knows of: the higher one. Commutative, associative and idempotent, so documents may
/// arrive in any order, late and repeated.
[[nodiscard]] std::uint64_t joinNumbers(std::uint64_t left, std::uint64_t right);

/// Whether a VM that has `current` in force must adopt a document with `offered`.
[[nodiscard]] bool shouldAdopt(std::uint64_t current, std::uint64_t offered);

/// Reads a document that the store or a peer offered. One that is not valid, or that has no number, has findings and
/// must not be adopted.
[[nodiscard]] parsed_document readOffered(std::string_view text);
} // namespace Configuration
