#pragma once

#include "LibCore/Time.h"
#include "LibExchange/FeedState.h"
#include "LibExchange/StoreRevision.h"
#include "LibFront/ExchangeHandler.h"
#include "LibFront/TimerQueue.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Exchange
{
/// Serves the change feed to other daemons: answers each request with the changes after the positions that it names. A
/// request waits until there is a change or its wait time has elapsed (long polling).
class feed_server
{
public:
    using states = std::map<std::string, feed_state>; ///< By kind.

    feed_server(Front::timer_queue &timers, const states &feedStates);

    [[nodiscard]] Front::abandon_function handle(const Front::request_message &request,
                                                 const Front::reply_function &reply);
    /// Sets whether this daemon reads from the store itself. Only then are requests answered; a follower could relay
    /// stale updates.
    void setSource(bool isSource);
    /// Answers the waiting requests that the latest update concerns, after a short delay that batches further updates.
    void notifyWaiting();

private:
    using positions_by_kind = std::map<std::string, store_revision>;
    using encoded_changes = std::map<positions_by_kind, std::string>; ///< Responses, by the positions they follow.

    struct waiting_request {
        positions_by_kind positions;
        Front::reply_function reply;
        std::optional<Front::timer_queue::handle> deadline;
    };
    using waiting_requests = std::list<waiting_request>;

    /// Returns the positions that the request names, or nothing if it is malformed.
    [[nodiscard]] std::optional<positions_by_kind> readPositions(std::string_view kinds, std::string_view eras) const;
    /// Returns whether a follower has read any kind in a later era than this daemon.
    [[nodiscard]] bool isOutdatedFor(const positions_by_kind &positions) const;
    [[nodiscard]] bool hasChangesFor(const waiting_request &waiting) const;
    [[nodiscard]] std::string encodeChangesAfter(const positions_by_kind &positions) const;
    /// Answers one request. Responses are taken from and added to `encoded`.
    void answer(waiting_requests::iterator waiting, encoded_changes &encoded);
    void answerReady();

    Front::timer_queue &m_timers;
    const states &m_states;
    waiting_requests m_waiting;
    bool m_isSource = false;
    bool m_isBatchScheduled = false; ///< The batching delay is running.
};

/// Returns the request target for the changes after `positions`; `wait` is how long the request may wait for a change.
[[nodiscard]] std::string feedTarget(const std::map<std::string, store_revision> &positions, Core::duration wait);

/// Names the header with the eras of a request's positions, separated by commas, in the order of the target. Daemons of
/// earlier versions neither send nor read it.
inline constexpr std::string_view feedErasHeader = "Feed-Eras";
[[nodiscard]] std::string feedErasText(const std::map<std::string, store_revision> &positions);
} // namespace Exchange
