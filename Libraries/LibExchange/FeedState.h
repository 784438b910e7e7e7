#pragma once

#include "LibExchange/FeedEntry.h"

#include <cstdint>
#include <map>
#include <string>

namespace Exchange
{
/// What a daemon knows of one kind of the store's objects.
struct feed_state {
    std::map<std::string, feed_entry> entries; ///< By name; deleted ones are kept for a while.
    std::uint64_t position = 0; ///< 0: nothing is known yet.
    std::uint64_t newestPresent = 0; ///< The highest revision of an entry that was there.
    std::uint64_t completeAfter = 0; ///< Deletions up to here may have been forgotten.
};
} // namespace Exchange
