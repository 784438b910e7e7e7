#include "Caller.h"

#include "Bounds.h"
#include "Fleet.h"
#include "Judge.h"

#include "LibFront/Endpoint.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <random>
#include <sstream>

namespace Soak
{
static constexpr std::chrono::milliseconds routeTimeout {1500}; ///< As the soak's configuration says.
static constexpr std::chrono::milliseconds patience {4000}; ///< Until a caller leaves without an answer.
static constexpr std::chrono::milliseconds lookUpTime {300};
static constexpr std::chrono::milliseconds retryPause {100};
static constexpr std::chrono::seconds entryTime {2};
static constexpr double leavesEarly = 0.02; ///< Part of the requests whose caller does not wait for the answer.
static constexpr std::chrono::milliseconds earlyLeave {8};

caller::caller(boost::asio::io_context &loop, Front::timer_queue &timers, judge &rules, fleet &daemons,
               std::size_t number, std::uint64_t seed, std::chrono::milliseconds pause)
    : m_loop(loop)
    , m_timers(timers)
    , m_judge(rules)
    , m_fleet(daemons)
    , m_number(number)
    , m_random(seed)
    , m_pause(pause)
{
}

void caller::start()
{
    later(m_pause * static_cast<int>(m_number % 4));
}

void caller::setConfiguration(std::uint64_t version)
{
    m_configuration = version;
}

void caller::later(std::chrono::milliseconds delay)
{
    m_timers.schedule(std::chrono::steady_clock::now() + delay, [this](Core::time_point) { next(); });
}

std::shared_ptr<raw_connection> caller::open(const std::string &address)
{
    const std::optional<Front::endpoint> target = Front::parseEndpoint(address);
    boost::asio::ip::tcp::socket socket(m_loop);
    boost::system::error_code error;
    socket.connect({target->address, target->port}, error);
    return error ? nullptr : std::make_shared<raw_connection>(std::move(socket));
}

void caller::next()
{
    if (m_connection && m_connection->ended) {
        m_connection.reset();
    }
    if (std::chrono::steady_clock::now() >= m_addressesUntil) {
        lookUp();
        return;
    }
    if (!m_connection && !connect()) {
        m_addressesUntil = {};
        later(retryPause);
        return;
    }
    sendRequest();
}

void caller::lookUp()
{
    const std::size_t daemon = std::uniform_int_distribution<std::size_t>(0, m_fleet.size() - 1)(m_random);
    m_directory = open(m_fleet.directoryAddress(daemon));
    m_addressesUntil = std::chrono::steady_clock::now() + entryTime;
    if (!m_directory) {
        later(retryPause);
        m_addressesUntil = m_addresses.empty() ? Core::time_point {} : m_addressesUntil;
        return;
    }
    m_directory->send("GET /api/resolve?name=h.example&region=r1&zone=" + std::string(m_number % 2 == 0 ? "z1" : "z2")
                      + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    m_directory->read([](raw_connection &) {});
    m_timers.schedule(std::chrono::steady_clock::now() + lookUpTime, [this](Core::time_point) {
        const std::string &received = m_directory->received;
        const std::size_t body = received.find("\r\n\r\n");
        if (received.starts_with("HTTP/1.1 200") && body != std::string::npos) {
            takeDirectory(received.substr(body + 4));
        }
        m_directory.reset();
        if (m_addresses.empty()) {
            m_addressesUntil = {};
        }
        next();
    });
}

void caller::takeDirectory(const std::string &body)
{
    boost::json::error_code error;
    const boost::json::value document = boost::json::parse(body, error);
    if (error || !document.is_object() || !document.get_object().contains("addrs")) {
        m_judge.report("directory", "", "answered '" + body + "'");
        return;
    }
    m_addresses.clear();
    for (const boost::json::value &address : document.at("addrs").as_array()) {
        m_addresses.emplace_back(address.as_string());
    }
}

bool caller::connect()
{
    std::shuffle(m_addresses.begin(), m_addresses.end(), m_random);
    for (const std::string &address : m_addresses) {
        for (std::size_t daemon = 0; daemon < m_fleet.size(); ++daemon) {
            m_daemon = m_fleet.callerAddress(daemon) == address ? daemon : m_daemon;
        }
        m_connection = open(address);
        if (m_connection) {
            m_connection->read([this, own = m_connection.get()](raw_connection &) {
                if (m_connection.get() == own) {
                    onBytes();
                }
            });
            return true;
        }
    }
    return false;
}

void caller::sendRequest()
{
    constexpr int kinds = 5;
    static constexpr route_kind drawn[kinds] = {route_kind::Gather, route_kind::Gather, route_kind::Single,
                                                route_kind::Once, route_kind::Moving};
    sent_request request;
    request.kind = drawn[std::uniform_int_distribution<int>(0, kinds - 1)(m_random)];
    request.method = "GET";
    request.daemon = m_daemon;
    request.configuration = m_configuration;
    request.sentAt = std::chrono::steady_clock::now();
    const std::string id = "c" + std::to_string(m_number) + "-" + std::to_string(++m_sent);
    switch (request.kind) {
    case route_kind::Gather:
        request.path = "/g/" + id + "?q=1";
        break;
    case route_kind::Single:
        request.path = "/p/" + id;
        break;
    case route_kind::Once:
        request.method = "POST";
        request.path = "/o/" + id;
        request.body = std::string(std::uniform_int_distribution<std::size_t>(1, 3000)(m_random), 'b');
        break;
    case route_kind::Moving:
        request.path = "/m/" + id;
        break;
    }
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(patience.count()) + "\r\n";
    if (!request.body.empty()) {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "\r\n" + request.body;
    m_waitingFor = id;
    m_judge.noteSent(id, std::move(request));
    m_connection->received.clear();
    m_connection->send(text);
    watchFor(routeTimeout + answerSlack, &caller::checkLate);
    const bool leaves = std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < leavesEarly;
    if (leaves) {
        watchFor(earlyLeave, &caller::leave);
    }
    watchFor(patience, &caller::giveUp);
    watchFor(retryPause, &caller::lookForEnd);
}

void caller::watchFor(std::chrono::milliseconds delay, void (caller::*step)(const std::string &))
{
    m_timers.schedule(std::chrono::steady_clock::now() + delay, [this, step, id = m_waitingFor](Core::time_point) {
        if (m_waitingFor == id) {
            (this->*step)(id);
        }
    });
}

/// The end of a connection is only seen by looking.
void caller::lookForEnd(const std::string &)
{
    if (m_connection->ended) {
        onEnd();
        return;
    }
    watchFor(retryPause, &caller::lookForEnd);
}

void caller::checkLate(const std::string &id)
{
    if (!m_connection->ended) {
        m_judge.noteLate(id);
    }
}

void caller::giveUp(const std::string &)
{
    m_connection->reset();
    m_connection.reset();
    m_waitingFor.clear();
    later(m_pause);
}

void caller::leave(const std::string &id)
{
    m_judge.noteLeft(id);
    giveUp(id);
}

void caller::onEnd()
{
    m_judge.noteCut(m_waitingFor, m_fleet.isInPlannedStop(m_daemon));
    m_waitingFor.clear();
    m_connection.reset();
    later(m_pause);
}

static std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

/// The first whole answer in what came; nothing while it is not whole.
static std::optional<caller_answer> parseAnswer(const std::string &received)
{
    const std::size_t end = received.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    caller_answer answer;
    std::istringstream head(received.substr(0, end));
    std::string line;
    std::getline(head, line);
    answer.status = std::stoi(line.substr(line.find(' ') + 1));
    while (std::getline(head, line)) {
        const std::size_t colon = line.find(": ");
        if (colon != std::string::npos) {
            answer.headers[lowered(line.substr(0, colon))] = line.substr(colon + 2, line.find('\r') - colon - 2);
        }
    }
    const std::string &length = answer.headers["content-length"];
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (received.size() < end + 4 + size) {
        return std::nullopt;
    }
    answer.body = received.substr(end + 4);
    return answer;
}

void caller::onBytes()
{
    if (m_waitingFor.empty()) {
        m_judge.report("mixed", "", "bytes on a connection with no request: " + m_connection->received.substr(0, 80));
        return;
    }
    const std::optional<caller_answer> answer = parseAnswer(m_connection->received);
    if (!answer) {
        return;
    }
    m_judge.noteAnswer(std::exchange(m_waitingFor, {}), *answer);
    const auto connection = answer->headers.find("connection");
    if (connection != answer->headers.end() && lowered(connection->second) == "close") {
        m_connection.reset();
    }
    later(m_pause);
}
} // namespace Soak
