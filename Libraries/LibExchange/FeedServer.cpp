#include "LibExchange/FeedServer.h"

#include "LibExchange/FeedCodec.h"
#include "LibExchange/FeedEvents.h"

#include <charconv>
#include <memory>
#include <optional>
#include <string_view>

namespace Exchange
{
using namespace std::chrono_literals;

/// Changes come in bursts, and each response wakes up both daemons.
static constexpr Core::duration newsPause = 50ms;
static constexpr std::string_view feedPath = "/feed/";

std::string feedTarget(const std::map<std::string, std::uint64_t> &positions, Core::duration wait)
{
    std::string target(feedPath);
    target += std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
    for (const auto &[kind, position] : positions) {
        target += "/" + kind + "/" + std::to_string(position);
    }
    return target;
}

static std::optional<std::uint64_t> readNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

static std::string_view takeSegment(std::string_view &rest)
{
    const std::size_t slash = rest.find('/');
    const std::string_view segment = rest.substr(0, slash);
    rest = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
    return segment;
}

feed_server::feed_server(Front::timer_queue &timers, const states &known)
    : m_timers(timers)
    , m_known(known)
{
}

void feed_server::setSource(bool isSource)
{
    m_isSource = isSource;
    if (!isSource) {
        answerAll();
    }
}

Front::abandon_function feed_server::handle(const Front::request_message &request, const Front::reply_function &reply)
{
    std::string_view rest = request.target();
    if (!rest.starts_with(feedPath)) {
        reply(Front::errorAnswer(404, "no such path"));
        return {};
    }
    rest.remove_prefix(feedPath.size());
    const std::optional<std::uint64_t> wait = readNumber(takeSegment(rest));
    question asked;
    bool isReadable = wait.has_value();
    while (!rest.empty()) {
        const std::string kind(takeSegment(rest));
        const std::optional<std::uint64_t> position = readNumber(takeSegment(rest));
        isReadable = isReadable && position && m_known.contains(kind);
        asked.positions[kind] = position.value_or(0);
    }
    if (!isReadable) {
        reply(Front::errorAnswer(400, "positions cannot be read"));
        return {};
    }
    if (!m_isSource) {
        reply(Front::errorAnswer(503, "this daemon does not hear from the store"));
        return {};
    }
    asked.reply = reply;
    const auto place = m_waiting.insert(m_waiting.end(), std::move(asked));
    const auto stillAsked = std::make_shared<bool>(true);
    place->reply = [reply, stillAsked](Front::answer news) {
        *stillAsked = false;
        reply(std::move(news));
    };
    place->deadline = m_timers.schedule(std::chrono::steady_clock::now() + std::chrono::milliseconds(*wait),
                                        [this, place](Core::time_point) {
                                            place->deadline.reset();
                                            answer(place);
                                        });
    if (hasNewsFor(*place)) {
        answer(place);
        return {};
    }
    return [this, place, stillAsked]() {
        if (*stillAsked) {
            m_timers.cancel(*place->deadline);
            m_waiting.erase(place);
        }
    };
}

bool feed_server::hasNewsFor(const question &asked) const
{
    for (const auto &[kind, position] : asked.positions) {
        const feed_state &state = m_known.at(kind);
        for (const auto &[name, entry] : state.entries) {
            if (entry.revision > position) {
                return true;
            }
        }
        if (position == 0 && state.position > 0) {
            return true;
        }
    }
    return false;
}

void feed_server::answer(questions::iterator asked)
{
    if (asked->deadline) {
        m_timers.cancel(*asked->deadline);
    }
    Front::answer result;
    if (m_isSource) {
        std::vector<feed_kind> news;
        for (const auto &[kind, position] : asked->positions) {
            news.push_back(newsAfter(m_known.at(kind), kind, position));
        }
        result.status = 200;
        result.body = encodeFeed(news);
    } else {
        result = Front::errorAnswer(503, "this daemon does not hear from the store");
    }
    const Front::reply_function reply = std::move(asked->reply);
    m_waiting.erase(asked);
    reply(std::move(result));
}

void feed_server::answerAll()
{
    for (auto next = m_waiting.begin(); next != m_waiting.end();) {
        const auto asked = next++;
        if (!m_isSource || hasNewsFor(*asked)) {
            answer(asked);
        }
    }
}

void feed_server::noticeNews()
{
    if (m_noticed || m_waiting.empty()) {
        return;
    }
    m_noticed = true;
    m_timers.schedule(std::chrono::steady_clock::now() + newsPause, [this](Core::time_point) {
        m_noticed = false;
        answerAll();
    });
}
} // namespace Exchange
