#pragma once

#include "LibCore/Time.h"
#include "LibExchange/FeedDecision.h"

namespace Exchange
{
struct feed_role;
struct feed_view;

/// Decides from whom this daemon learns the store's news now.
[[nodiscard]] feed_decision decideFeed(feed_role &role, const feed_view &view, Core::time_point now);

/// Records that no source answers; the daemon asks the store itself for a while.
void recordNoSource(feed_role &role, Core::time_point now);
} // namespace Exchange
