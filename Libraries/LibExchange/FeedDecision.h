#pragma once

#include "LibExchange/FeedReason.h"

namespace Exchange
{
/// Result of `decideFeed`.
struct feed_decision {
    bool watchStore = false; ///< Watch the store rather than follow another daemon.
    feed_reason reason = feed_reason::Assigned; ///< Why the store is watched, or why not.
    bool switchSource = false; ///< Follow a different daemon: the current source lags.
    bool refresh = false; ///< List all objects of the store again: the watches have missed an update.
};
} // namespace Exchange
