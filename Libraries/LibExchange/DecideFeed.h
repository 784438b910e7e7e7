#pragma once

#include "LibCore/Time.h"
#include "LibExchange/FeedDecision.h"

namespace Exchange
{
struct feed_decision_state;
struct feed_view;

/// Decides whether this daemon watches the store itself or follows another daemon, and whether it has to switch its
/// source or list the store's objects again.
[[nodiscard]] feed_decision decideFeed(feed_decision_state &state, const feed_view &view, Core::time_point now);

/// Records that no source answers. The daemon then watches the store itself for a few seconds.
void recordNoSource(feed_decision_state &state, Core::time_point now);
} // namespace Exchange
