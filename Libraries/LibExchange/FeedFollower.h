#pragma once

#include "LibCore/Time.h"
#include "LibExchange/FeedKind.h"
#include "LibFront/ExchangeResult.h"
#include "LibFront/TimerQueue.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
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
/// Learns the store's news from another daemon, which is asked again as soon as it has answered.
class feed_follower
{
public:
    /// What the owner provides and does.
    struct callbacks {
        std::function<std::map<std::string, std::uint64_t>()> positions;
        std::function<std::vector<std::string>()> sources; ///< Peer addresses, the preferred first.
        std::function<void(const std::vector<feed_kind> &)> onNews;
        std::function<void()> onNoSource; ///< No source answers now. Following has ended.
    };

    feed_follower(boost::asio::io_context &loop, Front::timer_queue &timers, Front::decision_log &log, callbacks hooks);
    ~feed_follower();
    feed_follower(const feed_follower &) = delete;
    feed_follower &operator=(const feed_follower &) = delete;

    void start();
    void stop();
    /// Leaves the present source for another one.
    void switchSource();
    [[nodiscard]] bool isFollowing() const;
    /// Since when the present source is asked.
    [[nodiscard]] Core::time_point sourceSince() const;

private:
    void ask();
    void onAnswer(const std::string &source, Front::exchange_result end);

    boost::asio::io_context &m_loop;
    Front::timer_queue &m_timers;
    Front::decision_log &m_log;
    callbacks m_hooks;
    std::unique_ptr<Front::http_channel> m_channel;
    std::string m_source; ///< Address that the channel leads to.
    Core::time_point m_sourceSince;
    std::map<std::string, Core::time_point> m_avoidUntil; ///< Sources that failed lately.
    bool m_following = false;
};
} // namespace Exchange
