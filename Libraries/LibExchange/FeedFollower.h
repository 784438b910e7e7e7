#pragma once

#include "LibCore/Time.h"
#include "LibExchange/FeedUpdate.h"
#include "LibFront/ExchangeResult.h"
#include "LibFront/TimerQueue.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Front
{
class decision_log;
class http_channel;
} // namespace Front

namespace Exchange
{
/// Reads the store's updates from another daemon by long polling: sends the next request as soon as one is answered.
class feed_follower
{
public:
    /// Functions that the owner provides.
    struct callbacks {
        std::function<std::map<std::string, store_revision>()> positions; ///< Positions already read, by kind.
        std::function<std::vector<std::string>()> sources; ///< Peer addresses, the preferred first.
        /// Returns whether the source has read the store as it is now, so that it can be followed further.
        std::function<bool(std::vector<feed_update>)> onUpdates;
        std::function<void()> onNoSource; ///< No source answers; the follower has stopped.
    };

    feed_follower(boost::asio::io_context &loop, Front::timer_queue &timers, Front::decision_log &log, callbacks hooks);
    ~feed_follower();
    feed_follower(const feed_follower &) = delete;
    feed_follower &operator=(const feed_follower &) = delete;

    void start();
    void stop();
    /// Replaces the current source by another one.
    void switchSource();
    [[nodiscard]] bool isFollowing() const;
    /// Returns the peer address of the current source; empty if there is none.
    [[nodiscard]] const std::string &source() const;
    /// Returns the time at which the current source was chosen.
    [[nodiscard]] Core::time_point sourceSince() const;

private:
    void requestUpdates();
    void onResponse(const std::string &source, Front::exchange_result end);

    boost::asio::io_context &m_loop;
    Front::timer_queue &m_timers;
    Front::decision_log &m_log;
    callbacks m_hooks;
    std::unique_ptr<Front::http_channel> m_channel;
    std::string m_source; ///< Peer address to which the channel connects.
    Core::time_point m_sourceSince;
    std::map<std::string, Core::time_point> m_avoidUntil; ///< Sources that failed recently, by address.
    bool m_following = false;
};
} // namespace Exchange
