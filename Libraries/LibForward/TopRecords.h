#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace Forward
{
inline constexpr std::size_t recordSize = 16; ///< Bytes of a record; a shorter rest of an answer is none.

/// Returns the greatest `count` records of all parts, the greatest first, compared byte by byte. Equal ones all count.
[[nodiscard]] std::string greatestRecords(std::span<const std::string_view> parts, std::size_t count);
} // namespace Forward
