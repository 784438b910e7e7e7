#include "LibExchange/DecideFeed.h"

#include "LibExchange/FeedRole.h"
#include "LibExchange/FeedView.h"

#include <algorithm>

namespace Exchange
{
using namespace std::chrono_literals;

/// Updates reach followers within some hundred milliseconds; a change must be in force in a few seconds.
static constexpr Core::duration toleratedLag = 500ms;
/// Long enough for a second source to deliver the missing update.
static constexpr Core::duration longestLag = 1000ms;
static constexpr Core::duration directTime = 5s; ///< Failures of peers and links usually last a few seconds.
static constexpr Core::duration toleratedLoss = 1500ms; ///< Store outage after which a watcher follows another one.
static constexpr Core::duration followTime = 4s;
static constexpr Core::duration refreshPause = 2s; ///< Minimum time between two complete listings of the store.

/// Returns how long this daemon has lacked a revision that other daemons have. Newer revisions that are announced in
/// the meantime don't restart the measurement: while objects change steadily, some update is always in flight.
static Core::duration lagOf(feed_role &role, const feed_view &view, Core::time_point now)
{
    if (view.known >= role.awaited) {
        role.awaited = view.newest;
        role.awaitedSince = now;
    }
    return view.known < role.awaited ? now - role.awaitedSince : Core::duration {};
}

feed_decision decideFeed(feed_role &role, const feed_view &view, Core::time_point now)
{
    feed_decision decision;
    const Core::duration lag = lagOf(role, view, now);
    const bool mayFollow = view.hasSources && view.hearsPeers;
    // A source that was chosen only just now has not had time to deliver what the previous one failed to.
    const bool sourceFails = lag > toleratedLag && !view.isDirect && now - view.sourceSince > toleratedLag;
    if (!view.hearsPeers || (sourceFails && lag > longestLag)) {
        role.directUntil = now + directTime;
    }
    decision.switchSource = sourceFails && lag <= longestLag;
    if (view.isDirect && view.storeLostFor > toleratedLoss && mayFollow) {
        role.followUntil = now + followTime;
        role.directUntil = now;
    }
    decision.direct = view.watchesStore || now < role.directUntil || !view.hasSources;
    if (mayFollow && now < role.followUntil) {
        decision.direct = false;
    }
    if (lag > toleratedLag && decision.direct && view.isDirect && now - role.refreshedAt > refreshPause) {
        role.refreshedAt = now;
        decision.refresh = true;
    }
    return decision;
}

void recordNoSource(feed_role &role, Core::time_point now)
{
    role.directUntil = std::max(role.directUntil, now + directTime);
    role.followUntil = now;
}
} // namespace Exchange
