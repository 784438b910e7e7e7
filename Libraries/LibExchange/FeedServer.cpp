#include "LibExchange/FeedServer.h"

#include "LibExchange/FeedCodec.h"
#include "LibExchange/FeedEvents.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <optional>
#include <string_view>

namespace Exchange
{
using namespace std::chrono_literals;

/// Changes come in bursts, and each response wakes up both daemons.
static constexpr Core::duration batchDelay = 50ms;
static constexpr std::string_view feedPath = "/feed/";

std::string feedTarget(const std::map<std::string, store_revision> &positions, Core::duration wait)
{
    std::string target(feedPath);
    target += std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
    for (const auto &[kind, position] : positions) {
        target += "/" + kind + "/" + std::to_string(position.number);
    }
    return target;
}

std::string feedErasText(const std::map<std::string, store_revision> &positions)
{
    std::string text;
    for (const auto &[kind, position] : positions) {
        text += (text.empty() ? "" : ",") + std::to_string(position.era);
    }
    return text;
}

template<typename Number> static std::optional<Number> readNumber(std::string_view text)
{
    Number number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

static std::string_view takeSegment(std::string_view &rest, char separator = '/')
{
    const std::size_t end = rest.find(separator);
    const std::string_view segment = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    return segment;
}

feed_server::feed_server(Front::timer_queue &timers, const states &feedStates)
    : m_timers(timers)
    , m_states(feedStates)
{
}

void feed_server::setSource(bool isSource)
{
    m_isSource = isSource;
    if (!isSource) {
        answerReady();
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
    const std::optional<std::uint64_t> wait = readNumber<std::uint64_t>(takeSegment(rest));
    const std::optional<positions_by_kind> positions = readPositions(rest, request[feedErasHeader]);
    if (!wait || !positions) {
        reply(Front::errorAnswer(400, "positions cannot be read"));
        return {};
    }
    if (!m_isSource) {
        reply(Front::errorAnswer(503, "this daemon does not hear from the store"));
        return {};
    }
    if (isOutdatedFor(*positions)) {
        reply(Front::errorAnswer(503, "this daemon has not read the store in that era"));
        return {};
    }
    waiting_request waiting;
    waiting.positions = *positions;
    waiting.reply = reply;
    const auto inserted = m_waiting.insert(m_waiting.end(), std::move(waiting));
    const auto isPending = std::make_shared<bool>(true);
    inserted->reply = [reply, isPending](Front::answer response) {
        *isPending = false;
        reply(std::move(response));
    };
    inserted->deadline = m_timers.schedule(std::chrono::steady_clock::now() + std::chrono::milliseconds(*wait),
                                           [this, inserted](Core::time_point) {
                                               inserted->deadline.reset();
                                               encoded_changes encoded;
                                               answer(inserted, encoded);
                                           });
    if (hasChangesFor(*inserted)) {
        encoded_changes encoded;
        answer(inserted, encoded);
        return {};
    }
    return [this, inserted, isPending]() {
        if (*isPending) {
            m_timers.cancel(*inserted->deadline);
            m_waiting.erase(inserted);
        }
    };
}

std::optional<feed_server::positions_by_kind> feed_server::readPositions(std::string_view kinds,
                                                                         std::string_view eras) const
{
    positions_by_kind positions;
    const bool hasEras = !eras.empty();
    while (!kinds.empty()) {
        const std::string kind(takeSegment(kinds));
        const std::optional<std::uint64_t> number = readNumber<std::uint64_t>(takeSegment(kinds));
        const auto state = m_states.find(kind);
        if (!number || state == m_states.end()) {
            return std::nullopt;
        }
        // A follower of an earlier version compares the numbers alone.
        const std::optional<std::uint32_t> era =
            hasEras ? readNumber<std::uint32_t>(takeSegment(eras, ',')) : state->second.position.era;
        if (!era) {
            return std::nullopt;
        }
        positions[kind] = {*era, *number};
    }
    return positions;
}

bool feed_server::isOutdatedFor(const positions_by_kind &positions) const
{
    return std::any_of(positions.begin(), positions.end(), [&](const auto &position) {
        return position.second.era > m_states.at(position.first).position.era;
    });
}

bool feed_server::hasChangesFor(const waiting_request &waiting) const
{
    return std::any_of(waiting.positions.begin(), waiting.positions.end(), [&](const auto &position) {
        return hasChangesAfter(m_states.at(position.first), position.second);
    });
}

std::string feed_server::encodeChangesAfter(const positions_by_kind &positions) const
{
    std::vector<feed_update> updates;
    for (const auto &[kind, position] : positions) {
        updates.push_back(changesAfter(m_states.at(kind), kind, position));
    }
    return encodeFeed(updates, std::chrono::steady_clock::now());
}

void feed_server::answer(waiting_requests::iterator waiting, encoded_changes &encoded)
{
    if (waiting->deadline) {
        m_timers.cancel(*waiting->deadline);
    }
    Front::answer result;
    if (m_isSource) {
        const auto [found, isNew] = encoded.try_emplace(waiting->positions);
        if (isNew) {
            found->second = encodeChangesAfter(waiting->positions);
        }
        result.status = 200;
        result.body = found->second;
    } else {
        result = Front::errorAnswer(503, "this daemon does not hear from the store");
    }
    const Front::reply_function reply = std::move(waiting->reply);
    m_waiting.erase(waiting);
    reply(std::move(result));
}

void feed_server::answerReady()
{
    encoded_changes encoded; // Most followers have the same positions.
    for (auto next = m_waiting.begin(); next != m_waiting.end();) {
        const auto waiting = next++;
        if (!m_isSource || hasChangesFor(*waiting)) {
            answer(waiting, encoded);
        }
    }
}

void feed_server::notifyWaiting()
{
    if (m_isBatchScheduled || m_waiting.empty()) {
        return;
    }
    m_isBatchScheduled = true;
    m_timers.schedule(std::chrono::steady_clock::now() + batchDelay, [this](Core::time_point) {
        m_isBatchScheduled = false;
        answerReady();
    });
}
} // namespace Exchange
