#pragma once

#include "LibCore/Time.h"
#include "LibExchange/StoreRevision.h"

#include <string>

namespace Exchange
{
/// Encodes the content of a suspected removal: the object may be missing only because the store had an outage, so it
/// counts as removed only after `wait`.
[[nodiscard]] std::string encodeSuspectedRemoval(Core::duration wait);

/// Returns how long to wait before a deleted entry counts as removed; zero if the removal is certain.
[[nodiscard]] Core::duration decodeSuspectedRemoval(const std::string &content);

/// One object of the store as daemons relay it. Its content is opaque here.
struct feed_entry {
    std::string name;
    store_revision revision; ///< Position of the kind at which the entry changed.
    bool deleted = false;
    std::string content; ///< For a deleted entry: empty, or the result of `encodeSuspectedRemoval`.
    /// When the first daemon that relayed the entry read it from the store, by this daemon's clock.
    Core::time_point learnedAt {};
    /// The content before the entry was deleted; empty if this daemon has not had it. Not relayed.
    std::string removedContent {};
};
} // namespace Exchange
