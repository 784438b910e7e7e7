#include "LibExchange/FeedFollower.h"

#include "LibExchange/FeedCodec.h"
#include "LibExchange/FeedServer.h"

#include "LibFront/DecisionLog.h"
#include "LibFront/Endpoint.h"
#include "LibFront/HttpChannel.h"

#include <utility>

namespace Exchange
{
using namespace std::chrono_literals;

/// How long a question waits at the source. Each costs both sides a wake-up; keep-alive probes find silent connections.
static constexpr Core::duration questionWait = 20s;
static constexpr Core::duration answerMargin = 1s; ///< Beyond the wait, until the source is taken as silent.
static constexpr Core::duration sourceAvoidance = 2s; ///< A source that lost the store may have it back by then.

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
        ask();
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
        m_avoidUntil[m_source] = std::chrono::steady_clock::now() + sourceAvoidance;
        stop();
        start();
    }
}

bool feed_follower::isFollowing() const
{
    return m_following;
}

Core::time_point feed_follower::sourceSince() const
{
    return m_sourceSince;
}

void feed_follower::ask()
{
    if (m_channel && m_channel->isBusy()) {
        return; // The source was changed meanwhile, and the new one is asked already.
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
    const std::string text =
        "GET " + feedTarget(m_hooks.positions(), questionWait) + " HTTP/1.1\r\nHost: " + m_source + "\r\n\r\n";
    m_channel->call(text, questionWait + answerMargin,
                    [this, source = m_source](Front::exchange_result end) { onAnswer(source, std::move(end)); });
}

void feed_follower::onAnswer(const std::string &source, Front::exchange_result end)
{
    const bool isAnswered = end.reply && end.reply->result_int() == 200;
    const std::optional<std::vector<feed_kind>> news = isAnswered ? decodeFeed(end.reply->body()) : std::nullopt;
    if (!news) {
        m_log.write("feed_source_lost", {{"source", source}, {"status", end.reply ? end.reply->result_int() : 0}});
        m_avoidUntil[source] = std::chrono::steady_clock::now() + sourceAvoidance;
        // The channel is inside its own callback; it is replaced or used again afterwards.
        m_timers.schedule(std::chrono::steady_clock::now(), [this](Core::time_point) {
            if (m_following) {
                ask();
            }
        });
        return;
    }
    m_hooks.onNews(*news);
    if (m_following) {
        ask();
    }
}
} // namespace Exchange
