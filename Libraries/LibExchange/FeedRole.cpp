#include "LibExchange/FeedRole.h"

#include <algorithm>

namespace Exchange
{
using namespace std::chrono_literals;

/// News reaches followers within some hundred milliseconds; a change must be in force in a few seconds.
static constexpr Core::duration toleratedLag = 800ms;
static constexpr Core::duration directTime = 5s; ///< Troubles of peers and links last some seconds.
static constexpr Core::duration toleratedLoss = 1500ms; ///< Of the store, until a watcher follows another one.
static constexpr Core::duration followTime = 4s;
static constexpr Core::duration refreshPause = 2s; ///< Between two reads of everything.

feed_decision decideFeed(feed_role &role, const feed_view &view, Core::time_point now)
{
    if (!view.isBehind) {
        role.behindSince.reset();
    } else if (!role.behindSince) {
        role.behindSince = now;
    }
    const bool lags = role.behindSince && now - *role.behindSince > toleratedLag;
    if (lags || !view.hearsPeers) {
        role.directUntil = now + directTime;
    }
    const bool mayFollow = view.hasSources && view.hearsPeers;
    if (view.isDirect && view.storeLostFor > toleratedLoss && mayFollow) {
        role.followUntil = now + followTime;
        role.directUntil = now;
    }
    feed_decision decision;
    decision.direct = view.watchesStore || now < role.directUntil || !view.hasSources;
    if (mayFollow && now < role.followUntil) {
        decision.direct = false;
    }
    if (lags && decision.direct && view.isDirect && now - role.refreshedAt > refreshPause) {
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
