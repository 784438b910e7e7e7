#pragma once

#include "LibExchange/FeedEntry.h"
#include "LibExchange/StoreRevision.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Exchange
{
/// An update of one kind of objects.
struct feed_update {
    std::string kind;
    store_revision position; ///< Store revision up to which the kind has been read.
    bool isFullList = false; ///< The entries are all objects of the kind rather than only the changed ones.
    std::vector<feed_entry> entries;
    /// How long an object that is missing from a full list is only suspected of removal, because the store had an
    /// outage. Not relayed: each deleted entry carries the wait in its content.
    Core::duration suspectedRemovalWait {};
    Core::time_point receivedAt {}; ///< When this daemon received the update.
    /// In the era of the position, the highest revision of any entry that the sender has had and that was not deleted.
    std::uint64_t newestPresent = 0;
    /// Set if the update holds every single change after this position, as a watch of the store does. A list, and what
    /// another daemon relays, shows only what has changed on the whole.
    std::optional<store_revision> since {};
};
} // namespace Exchange
