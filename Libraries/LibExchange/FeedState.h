#pragma once

#include "LibExchange/FeedEntry.h"
#include "LibExchange/RevisionRange.h"
#include "LibExchange/StoreRevision.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Exchange
{
/// A daemon's copy of one kind of the store's objects.
struct feed_state {
    std::map<std::string, feed_entry> entries; ///< By name; a limited number of deleted entries is kept.
    store_revision position; ///< Store revision up to which the kind has been read.
    /// In the era of the position, the highest revision of any entry that was not deleted.
    std::uint64_t highestPresentRevision = 0;
    store_revision evictedUpTo; ///< Deleted entries up to this revision may have been evicted.
    /// The positions after which this daemon knows every change, in ascending order; see `knowsChangesAfter`. The last
    /// one ends at `position`.
    std::vector<revision_range> coveredPositions;
};
} // namespace Exchange
