#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace Forward
{
inline constexpr std::size_t recordSize = 16; ///< In bytes. A shorter remainder at the end of a result is ignored.

/// Returns the `count` greatest records of all partial results in descending order, compared bytewise. Duplicates are
/// kept.
[[nodiscard]] std::string selectTopRecords(std::span<const std::string_view> partialResults, std::size_t count);
} // namespace Forward
