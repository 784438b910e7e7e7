#include "LibExchange/DecideFeed.h"

#include "LibExchange/FeedRole.h"
#include "LibExchange/FeedView.h"

#include <algorithm>

namespace Exchange
{
using namespace std::chrono_literals;

/// News reaches followers within some hundred milliseconds; a change must be in force in a few seconds.
static constexpr Core::duration toleratedLag = 500ms;
/// By then a second source has had its chance.
static constexpr Core::duration longestLag = 1000ms;
static constexpr Core::duration directTime = 5s; ///< Troubles of peers and links last some seconds.
static constexpr Core::duration toleratedLoss = 1500ms; ///< Of the store, until a watcher follows another one.
static constexpr Core::duration followTime = 4s;
static constexpr Core::duration refreshPause = 2s; ///< Between two reads of everything.

/// How long this daemon has lacked a revision that others know. Newer ones that come meanwhile are not counted: under
/// steady change something is always on its way.
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
    // A source that was just taken has had no chance to make up for the one before.
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
