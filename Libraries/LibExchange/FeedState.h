#pragma once

#include "LibExchange/FeedEntry.h"

#include <cstdint>
#include <map>
#include <string>

namespace Exchange
{
/// A daemon's copy of one kind of the store's objects.
struct feed_state {
    std::map<std::string, feed_entry> entries; ///< By name; a limited number of deleted entries is kept.
    std::uint64_t position = 0; ///< Store revision up to which the kind has been read; 0: not read yet.
    std::uint64_t highestPresentRevision = 0; ///< Highest revision of any entry that was not deleted.
    std::uint64_t evictedUpTo = 0; ///< Deleted entries up to this revision may have been evicted.
};
} // namespace Exchange
