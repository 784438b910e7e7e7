#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace Exchange
{
/// What decides from whom a daemon learns the store's news now.
struct feed_view {
    bool watchesStore = false; ///< The fleet's plan makes it a watcher.
    bool hasSources = false; ///< There are other watchers.
    bool hearsPeers = true; ///< Some peer was heard lately, or there is none.
    std::uint64_t known = 0; ///< The newest revision that this daemon knows.
    std::uint64_t newest = 0; ///< The newest one that a live daemon says it knows.
    bool isDirect = false; ///< It watches the store at present.
    Core::time_point sourceSince; ///< While it follows: since when the present source is asked.
    Core::duration storeLostFor {}; ///< While it watches the store: how long the store has not answered.
};

/// What a daemon remembers between two decisions.
struct feed_role {
    Core::time_point directUntil; ///< Other daemons are not relied upon until then.
    Core::time_point followUntil; ///< The store is not asked until then.
    std::uint64_t awaited = 0; ///< The revision that is missing, of those announced the one that is waited for.
    Core::time_point awaitedSince;
    Core::time_point refreshedAt;
};

/// What to do now.
struct feed_decision {
    bool direct = false; ///< Watch the store, rather than follow another daemon.
    bool switchSource = false; ///< Follow another daemon: the present one hands on too little.
    bool refresh = false; ///< Read everything from the store anew: the watches seem to have missed something.
};

[[nodiscard]] feed_decision decideFeed(feed_role &role, const feed_view &view, Core::time_point now);

/// Records that no source answers; the daemon asks the store itself for a while.
void recordNoSource(feed_role &role, Core::time_point now);
} // namespace Exchange
