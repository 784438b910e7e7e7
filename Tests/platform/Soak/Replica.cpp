#include "Replica.h"

#include "Judge.h"

#include <chrono>
#include <random>
#include <sstream>
#include <utility>

namespace Soak
{
using namespace std::chrono_literals;

static constexpr unsigned slots = 3;
static constexpr std::size_t queueLength = 8; ///< Replicas queue a few requests and refuse more.
static constexpr std::chrono::milliseconds shortestWork {5};
static constexpr std::chrono::milliseconds longestWork {50};
static constexpr int slowFactor = 20;
static constexpr std::size_t recordsInPart = 3;
static constexpr std::size_t recordSize = 16;
static constexpr unsigned refusedShare = 4; ///< A replica that sends extra responses refuses every fourth request.

replica::replica(boost::asio::io_context &loop, Front::timer_queue &timers, judge &rules, std::string id,
                 std::string service, std::string dataCentre, std::uint64_t seed)
    : m_timers(timers)
    , m_loop(loop)
    , m_judge(rules)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_dataCentre(std::move(dataCentre))
    , m_random(seed)
    , m_link(loop, 0)
{
    start();
}

void replica::start()
{
    ++m_start;
    m_running = 0;
    m_waiting.clear();
    m_lateCopies.clear();
    m_fault = replica_fault::None;
    m_isLeaving = false;
    setRequestLimit(0.0);
    m_born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                 .count();
    m_server = std::make_unique<raw_server>(m_loop, [this](raw_connection &peer) { onBytes(peer); });
    m_link.setTarget(m_server->address().port());
}

void replica::crash()
{
    ++m_start;
    for (const auto &connection : m_server->connections) {
        connection->reset();
    }
    m_server.reset();
    m_link.resetAll();
}

void replica::setFault(replica_fault fault)
{
    m_fault = fault;
}

void replica::setRequestLimit(double perSecond)
{
    m_requestLimit = perSecond;
    m_judge.noteRequestLimit(m_id, perSecond, std::chrono::steady_clock::now());
}

void replica::announceLeaving()
{
    m_isLeaving = true;
}

bool replica::isRunning() const
{
    return m_server != nullptr;
}

const std::string &replica::id() const
{
    return m_id;
}

const std::string &replica::service() const
{
    return m_service;
}

const std::string &replica::dataCentre() const
{
    return m_dataCentre;
}

link &replica::path()
{
    return m_link;
}

boost::json::object replica::entry(const std::string &state) const
{
    return {{"backend", m_service},
            {"address", m_link.address()},
            {"zone", m_dataCentre},
            {"version", "v1"},
            {"max-concurrency", slots},
            {"state", state},
            {"warmup-left-ms", 0},
            {"sequence", 1},
            {"born", m_born}};
}

static std::string fieldOf(const std::string &head, const std::string &name)
{
    const std::size_t place = head.find("\r\n" + name + ": ");
    if (place == std::string::npos) {
        return {};
    }
    const std::size_t begin = place + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

void replica::onBytes(raw_connection &peer)
{
    const std::size_t end = peer.received.find("\r\n\r\n");
    if (end == std::string::npos) {
        return;
    }
    const std::string head = peer.received.substr(0, end + 2);
    const std::string length = fieldOf(head, "Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (peer.received.size() < end + 4 + size) {
        return;
    }
    request asked;
    std::istringstream(head) >> asked.method >> asked.path;
    asked.id = fieldOf(head, "Request-Id");
    asked.target = fieldOf(head, "Target-Instance");
    asked.body = peer.received.substr(end + 4, size);
    peer.received.erase(0, end + 4 + size);
    carryOut(peer, asked);
}

static std::string refusal(const std::string &status, const std::string &id)
{
    return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

void replica::carryOut(raw_connection &peer, const request &asked)
{
    if (!asked.target.empty() && asked.target != m_id) {
        peer.send(refusal("421 X", asked.id));
        return;
    }
    m_judge.noteArrival(asked.id, m_id, m_service, m_dataCentre, asked.method, asked.path, asked.body);
    if (m_waiting.size() >= queueLength) {
        peer.send(refusal("503 X", asked.id));
        return;
    }
    if (m_fault == replica_fault::Full) {
        peer.send(refusal("503 X\r\nRetry-After: 0.8", asked.id));
        return;
    }
    if (m_fault == replica_fault::Extra && ++m_arrivals % refusedShare == 0) {
        m_lateCopies[&peer] = refusal("503 X", asked.id);
        peer.send(m_lateCopies[&peer]);
        return;
    }
    m_waiting.push_back({peer.weak_from_this(), asked});
    runWaiting();
}

void replica::runWaiting()
{
    while (m_running < slots && !m_waiting.empty()) {
        const waiting_request next = std::move(m_waiting.front());
        m_waiting.pop_front();
        const auto peer = next.peer.lock();
        if (!peer || peer->ended) {
            continue;
        }
        ++m_running;
        m_judge.noteRun(next.asked.id, m_service);
        const auto drawn = std::chrono::milliseconds(
            std::uniform_int_distribution<std::int64_t>(shortestWork.count(), longestWork.count())(m_random));
        const auto work = drawn * (m_fault == replica_fault::Slow ? slowFactor : 1);
        m_timers.schedule(std::chrono::steady_clock::now() + work, [this, next, start = m_start](Core::time_point) {
            if (start != m_start) {
                return;
            }
            --m_running;
            const auto open = next.peer.lock();
            if (open && !open->ended) {
                answer(*open, next.asked);
            }
            runWaiting();
        });
    }
}

void replica::answer(raw_connection &peer, const request &asked)
{
    const std::string digest = m_id + "." + std::to_string(m_start) + "." + std::to_string(++m_answers);
    std::string body;
    for (std::size_t index = 0; index < recordsInPart * recordSize; ++index) {
        body += static_cast<char>('a' + std::uniform_int_distribution<int>(0, 25)(m_random));
    }
    body += "rest";
    const bool fails = m_fault == replica_fault::Failing;
    m_judge.notePart(asked.id, digest, {m_service, body, fails});
    const std::string limit =
        m_requestLimit > 0.0 ? "\r\nServer-Limit: " + std::to_string(m_requestLimit) : std::string();
    const std::string text = std::string("HTTP/1.1 ") + (fails ? "500" : "200") + " X\r\nRequest-Id: " + asked.id
        + "\r\nServer-Stamp: " + digest + limit + (m_isLeaving ? "\r\nServer-Leaving: 1\r\nConnection: close" : "")
        + "\r\nKeep-Alive: timeout=4\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    switch (m_fault) {
    case replica_fault::Hanging:
        return;
    case replica_fault::Losing:
        peer.reset();
        return;
    case replica_fault::Short:
        peer.send(text.substr(0, text.size() - recordSize));
        peer.reset();
        return;
    case replica_fault::Extra:
        peer.send(std::exchange(m_lateCopies[&peer], {}) + text + m_lastAnswer);
        break;
    case replica_fault::None:
    case replica_fault::Slow:
    case replica_fault::Failing:
    case replica_fault::Full:
        peer.send(text);
        break;
    }
    m_lastAnswer = text;
}
} // namespace Soak
