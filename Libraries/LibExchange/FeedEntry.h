#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <string>

namespace Exchange
{
/// Marks a deletion that may be the store's doing, since it was away: the entry counts as gone after `wait` only.
[[nodiscard]] std::string doubtedDeletion(Core::duration wait);

/// How long a deleted entry's deletion is in doubt; zero if it is certain.
[[nodiscard]] Core::duration doubtOf(const std::string &content);

/// One object of the store as daemons hand it on. Its content is opaque here.
struct feed_entry {
    std::string name;
    std::uint64_t revision = 0; ///< The kind's position when the entry changed.
    bool deleted = false;
    std::string content; ///< Of a deleted entry: empty, or as doubtedDeletion() makes it.
};
} // namespace Exchange
