#pragma once

#include "LibCore/Time.h"
#include "LibExchange/FeedProgress.h"

namespace Exchange
{
/// Input of `decideFeed`: this daemon's current state and its view of the fleet.
struct feed_view {
    bool watchesStore = false; ///< The feed plan assigns this daemon to watch the store.
    bool hasSources = false; ///< There are other daemons to follow.
    bool hasPeerContact = true; ///< A peer has sent a message recently, or no peer exists.
    feed_progress ownProgress;
    feed_progress announcedProgress; ///< The greatest that a live daemon has announced.
    bool isWatchingStore = false; ///< The daemon currently watches the store.
    Core::duration storeFallbackDelay {}; ///< Further lag before this daemon asks the store; differs between daemons.
    /// When every kind had last been listed completely from the store.
    Core::time_point listedAt;
    bool isSourceSilent = false; ///< While it follows: the source's heartbeats have stopped.
    Core::time_point sourceSince; ///< While it follows: when the current source was chosen.
    Core::duration storeUnreachableFor {}; ///< While it watches the store: how long the store has been unreachable.
};
} // namespace Exchange
