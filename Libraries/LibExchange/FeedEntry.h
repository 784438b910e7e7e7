#pragma once

#include <cstdint>
#include <string>

namespace Exchange
{
/// Marks a deletion that may be the store's doing: it was away, or has dropped its history.
inline constexpr const char *doubtedDeletion = "doubted";

/// One object of the store as daemons hand it on. Its content is opaque here.
struct feed_entry {
    std::string name;
    std::uint64_t revision = 0; ///< The kind's position when the entry changed.
    bool deleted = false;
    std::string content; ///< Of a deleted entry: empty, or doubtedDeletion.
};
} // namespace Exchange
