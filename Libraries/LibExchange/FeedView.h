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
} // namespace Exchange
