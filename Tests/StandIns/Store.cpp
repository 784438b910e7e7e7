#include "StandIns/Store.h"

#include "LibPlatform/HttpResponse.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace StandIns
{
using Platform::http_response;

static constexpr std::chrono::milliseconds watchInterval {5};

static std::string tagOf(std::uint64_t version)
{
    return "\"" + std::to_string(version) + "\"";
}

static http_response respondWith(int status, std::string body = "", const std::string &tag = "")
{
    http_response response;
    response.status = status;
    response.body = std::move(body);
    if (!tag.empty()) {
        response.headers["ETag"] = tag;
    }
    return response;
}

store::store()
    : m_watchThread([this] { answerWatches(); })
{
}

store::~store()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_watchThread.join();
}

void store::handle(const Platform::http_request &request, Platform::http_responder responder)
{
    if (request.path == "/faults" && request.method == "POST") {
        setFaults(request.body);
        answerHeld();
        responder.respond(respondWith(200, "{}"));
        return;
    }
    if (request.path == "/counters") {
        responder.respond(respondWith(200, countersText()));
        return;
    }
    Core::duration delay {};
    {
        const std::scoped_lock lock(m_mutex);
        if (m_down) {
            ++m_counters["refused"];
            responder.respond(respondWith(503));
            return;
        }
        if (m_silent) {
            m_held.emplace_back(request, std::move(responder));
            return;
        }
        delay = m_delay;
    }
    std::this_thread::sleep_for(delay);
    handleObject(request, std::move(responder));
}

void store::handleObject(const Platform::http_request &request, Platform::http_responder responder)
{
    const std::string prefix = "/objects/";
    if (!request.path.starts_with(prefix)) {
        responder.respond(respondWith(404));
        return;
    }
    const std::string key = request.path.substr(prefix.size());
    const std::scoped_lock lock(m_mutex);
    if (request.method == "PUT") {
        write(key, request, std::move(responder));
    } else if (request.parameters.contains("watch")) {
        watch(key, request, std::move(responder));
    } else {
        ++m_counters["reads"];
        const auto found = m_objects.find(key);
        responder.respond(found == m_objects.end()
                              ? respondWith(404)
                              : respondWith(200, found->second.body, tagOf(found->second.version)));
    }
}

void store::write(const std::string &key, const Platform::http_request &request, Platform::http_responder responder)
{
    ++m_counters["writes"];
    const auto found = m_objects.find(key);
    const std::string current = found == m_objects.end() ? "" : tagOf(found->second.version);
    const auto match = request.headers.find("if-match");
    const bool onlyNew = request.headers.contains("if-none-match");
    if ((onlyNew && !current.empty()) || (match != request.headers.end() && match->second != current)) {
        responder.respond(respondWith(412));
        return;
    }
    object &target = m_objects[key];
    ++target.version;
    target.body = request.body;
    if (m_loseReplies > 0) {
        --m_loseReplies;
        // The responder is dropped, so the client waits until its timeout although the write took effect.
        ++m_counters["lost_replies"];
        m_watches.push_back({"", "", Core::time_point::max(), std::move(responder)});
        return;
    }
    responder.respond(respondWith(200, "", tagOf(target.version)));
}

void store::watch(const std::string &key, const Platform::http_request &request, Platform::http_responder responder)
{
    ++m_counters["watches"];
    const auto timeout = request.parameters.find("timeout_ms");
    const std::int64_t milliseconds = timeout == request.parameters.end() ? 1000 : std::stoll(timeout->second);
    m_watches.push_back({key, request.parameters.at("watch"),
                         std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds),
                         std::move(responder)});
}

void store::answerWatches()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_silent) {
            lock.unlock();
            std::this_thread::sleep_for(watchInterval);
            lock.lock();
            continue;
        }
        std::vector<waiting_watch> kept;
        const Core::time_point now = std::chrono::steady_clock::now();
        for (waiting_watch &waiting : m_watches) {
            const auto found = m_objects.find(waiting.key);
            const bool changed = found != m_objects.end() && tagOf(found->second.version) != waiting.knownTag;
            if (changed) {
                waiting.responder.respond(respondWith(200, found->second.body, tagOf(found->second.version)));
            } else if (now >= waiting.until) {
                waiting.responder.respond(respondWith(304));
            } else {
                kept.push_back(std::move(waiting));
            }
        }
        m_watches = std::move(kept);
        lock.unlock();
        std::this_thread::sleep_for(watchInterval);
        lock.lock();
    }
}

void store::setFaults(const std::string &body)
{
    const boost::json::object faults = boost::json::parse(body).as_object();
    const std::scoped_lock lock(m_mutex);
    if (const auto *down = faults.if_contains("down")) {
        m_down = down->as_bool();
    }
    if (const auto *silent = faults.if_contains("silent")) {
        m_silent = silent->as_bool();
    }
    if (const auto *delay = faults.if_contains("delay_ms")) {
        m_delay = std::chrono::milliseconds(delay->to_number<std::int64_t>());
    }
    if (const auto *lose = faults.if_contains("lose_replies")) {
        m_loseReplies = lose->to_number<std::int64_t>();
    }
}

/// Carries out, late, what a silent store was asked; their callers have long given up on most of it.
void store::answerHeld()
{
    std::vector<std::pair<Platform::http_request, Platform::http_responder>> held;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_silent) {
            return;
        }
        held.swap(m_held);
    }
    for (auto &[request, responder] : held) {
        handleObject(request, std::move(responder));
    }
}

std::string store::countersText()
{
    const std::scoped_lock lock(m_mutex);
    boost::json::object counters;
    for (const auto &[name, count] : m_counters) {
        counters[name] = count;
    }
    return boost::json::serialize(counters);
}
} // namespace StandIns
