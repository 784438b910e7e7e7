#pragma once

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibCore/RandomEngine.h"
#include "LibExchange/FeedFollower.h"
#include "LibExchange/FeedRole.h"
#include "LibExchange/FeedServer.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Exchange
{
class peer_exchange;

/// Keeps this daemon's copy of the store's objects: decides whether to watch the store or to follow another daemon, and
/// hands on what it knows.
class feed_control
{
public:
    /// What the owner does.
    struct callbacks {
        std::function<void()> startDirect; ///< Watch every kind at the store.
        std::function<void()> stopDirect;
        std::function<void()> refresh; ///< List every kind anew.
        std::function<void(const std::string &kind, const feed_entry &)> onEntry;
        std::function<void()> onComplete; ///< Every kind is known for the first time.
    };

    feed_control(boost::asio::io_context &loop, Front::timer_queue &timers, Front::decision_log &log,
                 peer_exchange &exchange, Configuration::configuration_document places,
                 const std::vector<std::string> &kinds, bool isSeed, callbacks hooks);

    /// Takes news from the store or from a source.
    void takeNews(const std::vector<feed_kind> &news);
    /// Tells whether the store answers this daemon's watches.
    void setStoreReachable(bool reachable);
    /// Decides anew; to be called in each round of the exchange.
    void decide(Core::time_point now);

    [[nodiscard]] bool isComplete() const;
    [[nodiscard]] feed_server &server();
    [[nodiscard]] const feed_server::states &states() const;

private:
    void becomeDirect();
    void becomeFollower();
    void updateSource(Core::time_point now);

    Front::timer_queue &m_timers;
    Front::decision_log &m_log;
    peer_exchange &m_exchange;
    Configuration::configuration_document m_places; ///< Only data centres are read.
    callbacks m_hooks;
    feed_server::states m_states;
    feed_server m_server;
    feed_follower m_follower;
    feed_role m_role;
    Core::random_engine m_random;
    std::optional<Core::time_point> m_storeLostSince;
    std::uint64_t m_newest = 0; ///< As knowledgeNumber() says; announced to peers.
    bool m_isSeed; ///< New daemons turn to this one.
    bool m_direct = false;
    bool m_complete = false;
    bool m_waitsForTurn = false; ///< No source answers, and the daemon waits for its turn to ask the store.
};
} // namespace Exchange
