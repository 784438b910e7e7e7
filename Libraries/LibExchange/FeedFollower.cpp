#include "LibExchange/FeedFollower.h"

#include "LibExchange/FeedCodec.h"
#include "LibExchange/FeedServer.h"

#include "LibFront/DecisionLog.h"
#include "LibFront/Endpoint.h"
#include "LibFront/HttpChannel.h"

#include <algorithm>
#include <utility>

namespace Exchange
{
using namespace std::chrono_literals;

/// How long a request waits at the source for an update. Each request wakes up both daemons; keep-alive probes detect
/// dead connections meanwhile.
static constexpr Core::duration longPollWait = 20s;
static constexpr Core::duration requestTimeoutMargin = 1s; ///< Added to the wait before the request times out.
static constexpr Core::duration sourceRetryDelay = 2s; ///< A source may have reconnected to the store by then.
/// A daemon that has tried all sources has nothing better to do than to ask them again.
static constexpr Core::duration exhaustedRetryDelay = 300ms;

feed_follower::feed_follower(boost::asio::io_context &loop, Front::timer_queue &timers, Front::decision_log &log,
                             callbacks hooks)
    : m_loop(loop)
    , m_timers(timers)
    , m_log(log)
    , m_hooks(std::move(hooks))
{
}

feed_follower::~feed_follower() = default;

void feed_follower::start()
{
    if (!m_following) {
        m_following = true;
        requestUpdates();
    }
}

void feed_follower::stop()
{
    m_following = false;
    m_channel.reset();
    m_source.clear();
}

void feed_follower::switchSource()
{
    if (m_following && !m_source.empty()) {
        m_avoidUntil[m_source] = std::chrono::steady_clock::now() + sourceRetryDelay;
        stop();
        start();
    }
}

bool feed_follower::isFollowing() const
{
    return m_following;
}

const std::string &feed_follower::source() const
{
    return m_source;
}

Core::time_point feed_follower::sourceSince() const
{
    return m_sourceSince;
}

void feed_follower::requestUpdates()
{
    if (m_channel && m_channel->isBusy()) {
        return; // The source was switched in the meantime, and a request to the new one is already in flight.
    }
    const Core::time_point now = std::chrono::steady_clock::now();
    std::optional<std::string> chosen;
    for (const std::string &source : m_hooks.sources()) {
        const auto avoided = m_avoidUntil.find(source);
        if (avoided == m_avoidUntil.end() || avoided->second <= now) {
            chosen = source;
            break;
        }
    }
    const std::optional<Front::endpoint> address = chosen ? Front::parseEndpoint(*chosen) : std::nullopt;
    if (!address) {
        for (auto &[source, until] : m_avoidUntil) {
            until = std::min(until, now + exhaustedRetryDelay);
        }
        stop();
        m_hooks.onNoSource();
        return;
    }
    if (*chosen != m_source) {
        m_log.write("feed_source", {{"source", *chosen}, {"before", m_source}});
        m_source = *chosen;
        m_sourceSince = now;
        m_channel = std::make_unique<Front::http_channel>(
            m_loop, m_timers, boost::asio::ip::tcp::endpoint {address->address, address->port});
    }
    const std::map<std::string, store_revision> positions = m_hooks.positions();
    const std::string text = "GET " + feedTarget(positions, longPollWait) + " HTTP/1.1\r\nHost: " + m_source + "\r\n"
        + std::string(feedErasHeader) + ": " + feedErasText(positions) + "\r\n\r\n";
    m_channel->call(text, longPollWait + requestTimeoutMargin,
                    [this, source = m_source](Front::exchange_result end) { onResponse(source, std::move(end)); });
}

void feed_follower::onResponse(const std::string &source, Front::exchange_result end)
{
    const bool isAnswered = end.reply && end.reply->result_int() == 200;
    std::optional<std::vector<feed_update>> updates =
        isAnswered ? decodeFeed(end.reply->body(), std::chrono::steady_clock::now()) : std::nullopt;
    const bool isUsable = updates && m_hooks.onUpdates(std::move(*updates));
    if (!isUsable) {
        m_log.write("feed_source_lost", {{"source", source}, {"status", end.reply ? end.reply->result_int() : 0}});
        m_avoidUntil[source] = std::chrono::steady_clock::now() + sourceRetryDelay;
        // This runs inside the channel's own callback, so the channel is replaced or reused only after it has returned.
        m_timers.schedule(std::chrono::steady_clock::now(), [this](Core::time_point) {
            if (m_following) {
                requestUpdates();
            }
        });
        return;
    }
    if (m_following) {
        requestUpdates();
    }
}
} // namespace Exchange
