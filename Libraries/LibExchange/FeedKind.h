#pragma once

#include "LibExchange/FeedEntry.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Exchange
{
/// News of one kind of objects.
struct feed_kind {
    std::string kind;
    std::uint64_t position = 0; ///< The store's revision up to which the kind is known; 0: nothing is known.
    bool whole = false; ///< The entries are all that there are, rather than those that changed.
    std::vector<feed_entry> entries;
    /// For how long what is missing from a whole may be the store's doing. Not handed on: each entry says it.
    Core::duration doubtedFor {};
};
} // namespace Exchange
