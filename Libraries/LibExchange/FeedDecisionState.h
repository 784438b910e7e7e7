#pragma once

#include "LibCore/Time.h"
#include "LibExchange/FeedProgress.h"
#include "LibExchange/FeedReason.h"

namespace Exchange
{
/// State that `decideFeed` keeps between two decisions.
struct feed_decision_state {
    Core::time_point watchStoreUntil; ///< Until then the daemon watches the store even if it could follow a source.
    feed_reason watchReason = feed_reason::Assigned; ///< Why `watchStoreUntil` was set.
    Core::time_point followUntil; ///< Until then the daemon follows a source even if assigned to watch the store.
    Core::time_point noSourceUntil; ///< Until then no other daemon is expected to have the feed.
    feed_progress awaitedProgress; ///< The announced progress that the daemon lacks and whose lag is measured.
    Core::time_point awaitedSince;
    /// Announced by others, and not in the store any more: the entry that it counted was removed.
    feed_progress obsoleteProgress;
    Core::time_point refreshedAt;
};
} // namespace Exchange
