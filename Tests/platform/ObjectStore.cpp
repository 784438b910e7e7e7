#include "ObjectStore.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <sstream>

using namespace std::chrono_literals;

static constexpr std::chrono::milliseconds tickInterval {100}; ///< Maximum delay with which a watch's wait ends.

object_store::object_store(boost::asio::io_context &loop)
    : m_timer(loop)
    , m_server(loop, [this](raw_connection &peer) { onBytes(peer); })
{
    tick();
}

void object_store::tick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            answerWatches();
            tick();
        }
    });
}

void object_store::reply(raw_connection &peer, int status, const std::string &body) const
{
    const std::string era = m_era > 0 ? "Store-Era: " + std::to_string(m_era) + "\r\n" : std::string();
    peer.send("HTTP/1.1 " + std::to_string(status) + " X\r\n" + era + "Content-Length: " + std::to_string(body.size())
              + "\r\n\r\n" + body);
}

static std::uint64_t revisionOf(const boost::json::object &object)
{
    return object.at("meta").at("revision").to_number<std::uint64_t>();
}

void object_store::recordChange(const std::string &kind, const boost::json::object &object, bool deleted)
{
    m_history.push_back({m_revision, kind, {{"object", object}, {"deleted", deleted}}});
    if (m_fault != store_fault::Silent) {
        answerWatches();
    }
}

void object_store::put(const std::string &kind, const std::string &name, const boost::json::value &spec)
{
    ++m_revision;
    boost::json::object &object = m_objects[kind][name];
    if (object.empty()) {
        object["meta"] = {{"name", name}, {"create-rev", m_revision}};
    }
    object.at("meta").as_object()["revision"] = m_revision;
    object["spec"] = spec;
    recordChange(kind, object, false);
}

void object_store::putText(const std::string &kind, const std::string &name, std::string_view spec)
{
    put(kind, name, boost::json::parse(spec));
}

void object_store::putStatus(const std::string &kind, const std::string &name, const boost::json::value &status)
{
    boost::json::object &object = m_objects.at(kind).at(name);
    if (!object.contains("status") || object.at("status") != status) {
        object["status"] = status;
        object.at("meta").as_object()["revision"] = ++m_revision;
        recordChange(kind, object, false);
    }
}

void object_store::remove(const std::string &kind, const std::string &name)
{
    const auto found = m_objects[kind].find(name);
    if (found != m_objects[kind].end()) {
        ++m_revision;
        const boost::json::object last = found->second;
        m_objects[kind].erase(found);
        recordChange(kind, last, true);
    }
}

const boost::json::object *object_store::find(const std::string &kind, const std::string &name) const
{
    const auto objects = m_objects.find(kind);
    if (objects == m_objects.end()) {
        return nullptr;
    }
    const auto found = objects->second.find(name);
    return found == objects->second.end() ? nullptr : &found->second;
}

void object_store::dropHistory()
{
    m_history.clear();
    m_historyFrom = m_revision;
    resetWatches();
}

void object_store::resetWatches()
{
    for (const waiting_watch &waiting : m_watches) {
        if (const auto peer = waiting.peer.lock()) {
            peer->reset();
        }
    }
    m_watches.clear();
}

void object_store::keepCopy()
{
    m_copy = {m_objects, m_revision, m_history.size()};
    m_era = std::max(m_era, 1U);
}

void object_store::restoreCopy()
{
    m_objects = m_copy.objects;
    m_revision = m_copy.revision;
    m_history.resize(std::min(m_history.size(), m_copy.historySize));
    ++m_era;
    resetWatches();
}

void object_store::injectFault(store_fault fault)
{
    m_fault = fault;
    answerWatches();
}

std::string object_store::address() const
{
    return "127.0.0.1:" + std::to_string(port());
}

std::uint16_t object_store::port() const
{
    return m_server.address().port();
}

std::size_t object_store::callCount(const std::string &method) const
{
    const auto found = m_calls.find(method);
    return found == m_calls.end() ? 0 : found->second;
}

object_store::call object_store::parse(const std::string &text)
{
    call request;
    std::string target;
    std::istringstream(text) >> request.method >> target;
    const std::size_t question = target.find('?');
    std::vector<std::string> parts;
    std::istringstream path(target.substr(0, question));
    for (std::string part; std::getline(path, part, '/');) {
        parts.push_back(part);
    }
    parts.resize(6); // "", "api", "objects", KIND, NAME, "status"
    request.kind = parts[3];
    request.name = parts[4];
    request.isStatus = parts[5] == "status";
    if (question != std::string::npos) {
        std::istringstream query(target.substr(question + 1));
        for (std::string pair; std::getline(query, pair, '&');) {
            const std::size_t equals = pair.find('=');
            request.query[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
        }
    }
    const std::string body = text.substr(text.find("\r\n\r\n") + 4);
    if (!body.empty()) {
        request.body = boost::json::parse(body).as_object();
    }
    return request;
}

void object_store::onBytes(raw_connection &peer)
{
    const std::size_t end = peer.received.find("\r\n\r\n");
    if (end == std::string::npos) {
        return;
    }
    const std::string lengthName = "Content-Length: ";
    const std::size_t length = peer.received.find(lengthName);
    const std::size_t size = length < end ? std::stoul(peer.received.substr(length + lengthName.size())) : 0;
    if (peer.received.size() < end + 4 + size) {
        return;
    }
    const call request = parse(peer.received);
    peer.received.clear();
    ++m_calls[request.method];
    switch (m_fault) {
    case store_fault::None:
        execute(peer, request);
        return;
    case store_fault::Refusing:
        reply(peer, 503, "{}");
        return;
    case store_fault::Silent:
        return;
    case store_fault::LosingResponses:
        if (request.method != "GET") {
            write(peer, request);
            peer.reset();
            return;
        }
        execute(peer, request);
        return;
    }
}

void object_store::execute(raw_connection &peer, const call &request)
{
    if (request.method != "GET") {
        write(peer, request);
    } else if (request.query.contains("watch")) {
        watch(peer, request);
    } else if (request.name.empty()) {
        list(peer, request);
    } else if (const boost::json::object *object = find(request.kind, request.name)) {
        reply(peer, 200, boost::json::serialize(*object));
    } else {
        reply(peer, 404, "{}");
    }
}

void object_store::list(raw_connection &peer, const call &request)
{
    constexpr std::size_t pageSize = 5; // Small, so that lists have several pages.
    const auto after = request.query.find("after");
    boost::json::array items;
    bool hasMore = false;
    for (const auto &[name, object] : m_objects[request.kind]) {
        if (after != request.query.end() && name <= after->second) {
            continue;
        }
        if (items.size() == pageSize) {
            hasMore = true;
            break;
        }
        items.push_back(object);
    }
    reply(peer, 200,
          boost::json::serialize(
              boost::json::object {{"items", items}, {"has-more", hasMore}, {"store-revision", m_revision}}));
}

void object_store::watch(raw_connection &peer, const call &request)
{
    const std::uint64_t after = std::stoull(request.query.at("watch"));
    if (after < m_historyFrom || after > m_revision) {
        reply(peer, 410, "{}");
        return;
    }
    const std::chrono::milliseconds wait(std::stoll(request.query.at("wait-ms")));
    m_watches.push_back({peer.shared_from_this(), request.kind, after, std::chrono::steady_clock::now() + wait});
    answerWatches();
}

std::string object_store::eventsAfter(const std::string &kind, std::uint64_t after) const
{
    boost::json::array events;
    for (const event &past : m_history) {
        if (past.kind == kind && past.revision > after) {
            events.push_back(past.content);
        }
    }
    return boost::json::serialize(boost::json::object {{"events", events}, {"store-revision", m_revision}});
}

void object_store::answerWatches()
{
    if (m_fault == store_fault::Silent || m_fault == store_fault::Refusing) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_watches, [&](const waiting_watch &waiting) {
        const auto peer = waiting.peer.lock();
        if (!peer || peer->ended) {
            return true;
        }
        const bool hasEvents = std::any_of(m_history.begin(), m_history.end(), [&](const event &past) {
            return past.kind == waiting.kind && past.revision > waiting.after;
        });
        if (hasEvents || now >= waiting.until) {
            reply(*peer, 200, eventsAfter(waiting.kind, waiting.after));
            return true;
        }
        return false;
    });
}

void object_store::write(raw_connection &peer, const call &request)
{
    const boost::json::object *meta = request.body.contains("meta") ? request.body.at("meta").if_object() : nullptr;
    const std::string name = !request.name.empty() || meta == nullptr || !meta->contains("name")
        ? request.name
        : std::string(meta->at("name").as_string());
    const auto found = m_objects[request.kind].find(name);
    const bool exists = found != m_objects[request.kind].end();
    if (request.method == "POST" && exists) {
        reply(peer, 409, boost::json::serialize(found->second));
        return;
    }
    if (request.method != "POST" && !exists) {
        reply(peer, 404, "{}");
        return;
    }
    const bool isConditional = meta != nullptr && meta->contains("revision");
    if (exists && isConditional && meta->at("revision").to_number<std::uint64_t>() != revisionOf(found->second)) {
        reply(peer, 409, boost::json::serialize(found->second));
        return;
    }
    if (request.method == "DELETE") {
        remove(request.kind, name);
    } else if (request.isStatus) {
        putStatus(request.kind, name, request.body.at("status"));
    } else {
        put(request.kind, name, request.body.at("spec"));
    }
    reply(peer, 200, "{}");
}
