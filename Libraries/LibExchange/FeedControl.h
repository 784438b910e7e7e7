#pragma once

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibExchange/FeedDecisionState.h"
#include "LibExchange/FeedFollower.h"
#include "LibExchange/FeedProgress.h"
#include "LibExchange/FeedReason.h"
#include "LibExchange/FeedServer.h"
#include "LibExchange/StoreContact.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Exchange
{
class peer_exchange;

/// Maintains this daemon's copy of the store's objects: decides whether to watch the store or to follow another daemon,
/// applies the updates and relays them to followers.
class feed_control
{
public:
    /// Functions that the owner provides.
    struct callbacks {
        std::function<void()> startStoreWatches; ///< Starts watching every kind at the store.
        std::function<void()> stopStoreWatches; ///< Ends the watches at the store.
        std::function<void()> refresh; ///< Lists the objects of every kind again.
        std::function<void(const std::string &kind, const feed_entry &)> onEntry; ///< An entry has changed.
        /// An `is_outdated_function` for entries of the kind.
        std::function<bool(const std::string &kind, const feed_entry &known, const feed_entry &received)> isOutdated;
        std::function<void()> onRestored; ///< The store was restored from a copy.
        std::function<void()> onComplete; ///< Every kind has been read for the first time.
    };

    feed_control(boost::asio::io_context &loop, Front::timer_queue &timers, Front::decision_log &log,
                 peer_exchange &exchange, Configuration::configuration_document topology,
                 const std::vector<std::string> &kinds, bool isSeed, callbacks hooks);

    /// Applies updates from the store or from a source.
    void applyUpdates(const std::vector<feed_update> &updates);
    /// Records that the store has answered or failed a call of the watch of a kind. Must be called for each of them,
    /// since a failure counts until an answer is recorded.
    void recordStoreCall(const std::string &kind, bool isAnswered);
    /// Records whether the store has answered a probe. To be called while this daemon watches the store.
    void recordStoreProbe(bool isAnswered);
    /// Decides again where to read updates from; must be called in each gossip round.
    void decide(Core::time_point now);

    [[nodiscard]] bool isComplete() const;
    [[nodiscard]] bool isWatchingStore() const;
    /// Returns whether this daemon is one of those that watch the store for the others.
    [[nodiscard]] bool isAssignedToStore() const;
    [[nodiscard]] feed_server &server();
    [[nodiscard]] const feed_server::states &states() const;

private:
    /// Looks for a source again after a while, or asks the store once this daemon's turn has come.
    /// Returns whether the heartbeats of the daemon with this peer address have stopped.
    [[nodiscard]] bool isSilent(const std::string &source, Core::time_point now) const;
    void onNoSource(Core::time_point now);
    void startWatchingStore(feed_reason reason);
    void startFollowing(feed_reason reason);
    /// Applies updates from a source. Returns whether the source has read the store in the latest era.
    bool applyRelayed(std::vector<feed_update> updates);
    /// Applies an update to the copy of its kind. Returns whether an entry or the era has changed.
    bool applyToState(feed_state &state, const feed_update &update);
    /// Logs that the store of one kind was restored from a copy.
    void recordEra(const feed_state &state, const std::string &kind, store_revision before, std::size_t changes);
    void updateSourceRole(Core::time_point now);

    Front::timer_queue &m_timers;
    Front::decision_log &m_log;
    peer_exchange &m_exchange;
    Configuration::configuration_document m_topology; ///< Only data centres are read.
    callbacks m_hooks;
    feed_server::states m_states;
    feed_server m_server;
    feed_follower m_follower;
    feed_decision_state m_decisionState;
    store_contact m_storeContact;
    std::optional<Core::time_point> m_noSourceSince; ///< Since when no source has answered.
    feed_progress m_progress; ///< The greatest result of `progressOf`; announced to peers.
    std::uint32_t m_restoredEra = 0; ///< The era of the latest restore that this daemon has noticed; 0 if none.
    bool m_isSeed; ///< This daemon is a seed, which new daemons ask first.
    bool m_isWatchingStore = false;
    std::map<std::string, Core::time_point> m_listedAt; ///< The latest full list from the store, by kind.
    bool m_isSource = false; ///< It relays updates to followers.
    bool m_isComplete = false;
    bool m_isAssignedToStore = false;
    bool m_isStartScheduled = false; ///< No source answers; the next attempt is scheduled.
};
} // namespace Exchange
