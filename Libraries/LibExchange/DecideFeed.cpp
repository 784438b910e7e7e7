#include "LibExchange/DecideFeed.h"

#include "LibExchange/FeedDecisionState.h"
#include "LibExchange/FeedView.h"

#include <algorithm>

namespace Exchange
{
using namespace std::chrono_literals;

/// Updates reach followers within some hundred milliseconds; a change must be in force in a few seconds.
static constexpr Core::duration sourceSwitchLag = 500ms;
/// Long enough for a second source to deliver the missing update.
static constexpr Core::duration storeFallbackLag = 1000ms;
static constexpr Core::duration maximumFallbackDelay = 1500ms; ///< A lagging daemon may miss a configuration.
static constexpr Core::duration storeFallbackDuration = 5s; ///< Failures of peers and links usually last a few seconds.
/// A watcher follows another one when the store has not answered it for longer.
static constexpr Core::duration maximumStoreOutage = 700ms;
static constexpr Core::duration followDuration = 4s;
/// A watcher that the store refuses, and that found no other daemon with the feed, looks for one again after this time.
static constexpr Core::duration sourceSearchPause = 1500ms;
/// Between two complete listings of the store.
static constexpr Core::duration minimumRefreshInterval = 2s;

/// Returns how long this daemon has lacked a revision that other daemons have. Newer revisions that are announced in
/// the meantime don't restart the measurement: while objects change steadily, some update is always in flight.
static Core::duration measureLag(feed_decision_state &state, const feed_view &view, Core::time_point now)
{
    // A list that was requested after the announcement shows all that the store has.
    const bool hasListedSince = state.refreshedAt > state.awaitedSince && view.listedAt > state.refreshedAt;
    if (view.isWatchingStore && hasListedSince) {
        state.obsoleteProgress = std::max(state.obsoleteProgress, state.awaitedProgress);
    }
    const feed_progress known = std::max(view.ownProgress, state.obsoleteProgress);
    // The daemon that announced what is awaited may be gone.
    if (known >= state.awaitedProgress || view.announcedProgress < state.awaitedProgress) {
        state.awaitedProgress = view.announcedProgress;
        state.awaitedSince = now;
    }
    return known < state.awaitedProgress ? now - state.awaitedSince : Core::duration {};
}

feed_decision decideFeed(feed_decision_state &state, const feed_view &view, Core::time_point now)
{
    feed_decision decision;
    const Core::duration lag = measureLag(state, view, now);
    const bool canFollow = view.hasSources && view.hasPeerContact;
    // A source that was chosen only just now has not had time to deliver what the previous one failed to.
    const bool isSourceLagging =
        lag > sourceSwitchLag && !view.isWatchingStore && now - view.sourceSince > sourceSwitchLag;
    const Core::duration fallbackLag =
        storeFallbackLag + std::min<Core::duration>(view.storeFallbackDelay, maximumFallbackDelay);
    if (!view.hasPeerContact || (isSourceLagging && lag > fallbackLag)) {
        state.watchStoreUntil = now + storeFallbackDuration;
        state.watchReason = view.hasPeerContact ? feed_reason::Lagging : feed_reason::NoPeerContact;
    }
    // A suspended source still holds the request, and no number shows that it lacks a removal.
    const bool hasSilentSource = view.isSourceSilent && !view.isWatchingStore;
    decision.switchSource = hasSilentSource || (isSourceLagging && lag <= fallbackLag);
    // If no other daemon had the feed either, following one again helps only once some daemon knows more.
    const bool mayFindSource = now >= state.noSourceUntil || lag > sourceSwitchLag;
    if (view.isWatchingStore && view.storeUnreachableFor > maximumStoreOutage && canFollow && mayFindSource) {
        state.followUntil = now + followDuration;
        state.watchStoreUntil = now;
    }
    decision.watchStore = view.watchesStore || now < state.watchStoreUntil || !view.hasSources;
    if (!view.hasSources) {
        decision.reason = feed_reason::NoSources;
    } else if (!view.watchesStore && now < state.watchStoreUntil) {
        decision.reason = state.watchReason;
    }
    if (canFollow && now < state.followUntil) {
        decision.watchStore = false;
        decision.reason = feed_reason::StoreUnreachable;
    }
    if (lag > sourceSwitchLag && decision.watchStore && view.isWatchingStore
        && now - state.refreshedAt > minimumRefreshInterval) {
        state.refreshedAt = now;
        decision.refresh = true;
    }
    return decision;
}

void recordNoSource(feed_decision_state &state, Core::time_point now)
{
    state.watchStoreUntil = std::max(state.watchStoreUntil, now + storeFallbackDuration);
    state.watchReason = feed_reason::NoSourceAnswers;
    state.followUntil = now;
    state.noSourceUntil = now + sourceSearchPause;
}
} // namespace Exchange
