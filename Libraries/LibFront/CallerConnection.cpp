#include "LibFront/CallerConnection.h"

#include "LibFront/ServerState.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <utility>

namespace Front
{
namespace http = boost::beast::http;
using namespace std::chrono_literals;

/// Time for the peer to read the response and close the connection; covers several round trips.
static constexpr Core::duration lingerTimeout = 2s;
/// Time for a request with a complete header, from its first byte to the end of its body.
static constexpr Core::duration bodyTimeout = 30s;
/// Maximum bytes of further requests buffered while one is processed. Beyond that, reading stops, which applies TCP
/// backpressure to the peer.
static constexpr std::size_t maximumBufferedBytes = 65536;

caller_connection::caller_connection(boost::asio::ip::tcp::socket socket, server_state &server)
    : m_socket(std::move(socket))
    , m_server(server)
    , m_idleSince(std::chrono::steady_clock::now())
{
}

caller_connection::~caller_connection()
{
    m_server.connections.erase(this);
}

void caller_connection::start()
{
    m_server.connections.emplace(this, weak_from_this());
    boost::system::error_code ignored; // Without the option responses are delayed but still correct.
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    scheduleTimeout();
    read();
}

void caller_connection::closeWhenIdle()
{
    if (!m_requestInProgress && !m_parser) {
        lingerThenClose();
    }
    m_closeAfter = true;
}

void caller_connection::answerUnfinished()
{
    if (m_closed || !m_abandon) {
        return;
    }
    const abandon_function abandon = std::exchange(m_abandon, nullptr);
    abandon();
    m_closeAfter = true;
    reply(errorAnswer(504, "this daemon stops; the request may have run"));
}

void caller_connection::read()
{
    if (m_reading || m_closed) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
                             [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                                 self->onRead(error, size);
                             });
}

void caller_connection::onRead(const boost::system::error_code &error, std::size_t size)
{
    m_reading = false;
    if (m_closed) {
        return;
    }
    if (error) {
        close();
        return;
    }
    if (!m_lingering) {
        m_input.append(m_chunk.data(), size);
        if (!m_requestInProgress) {
            parse();
        }
    }
    if (m_input.size() < maximumBufferedBytes) {
        read();
    }
}

void caller_connection::parse()
{
    if (m_input.empty() || m_closed || m_lingering) {
        return;
    }
    if (!m_parser) {
        const Forward::caller_limits limits = m_server.limits();
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        m_parser->body_limit(limits.bodyBytes);
        m_requestStartedAt = std::chrono::steady_clock::now();
    }
    boost::system::error_code error;
    const std::size_t consumed = m_parser->put(boost::asio::buffer(m_input), error);
    m_input.erase(0, consumed);
    if (error && error != http::error::need_more) {
        rejectRequest(error);
        return;
    }
    if (m_parser->is_done()) {
        handleRequest();
        return;
    }
    if (m_parser->is_header_done() && boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue")
        && m_output.empty()) {
        m_parser->get().erase(http::field::expect);
        m_output = "HTTP/1.1 100 Continue\r\n\r\n";
        boost::asio::async_write(m_socket, boost::asio::buffer(m_output),
                                 [self = shared_from_this()](const boost::system::error_code &failure, std::size_t) {
                                     self->m_output.clear();
                                     if (failure) {
                                         self->close();
                                     }
                                 });
    }
    scheduleTimeout();
}

static unsigned statusFor(const boost::system::error_code &error)
{
    if (error == http::error::header_limit) {
        return 431;
    }
    return error == http::error::body_limit ? 413 : 400;
}

void caller_connection::rejectRequest(const boost::system::error_code &error)
{
    m_closeAfter = true;
    m_parser.reset();
    m_input.clear();
    write(errorAnswer(statusFor(error), "request cannot be read: " + error.message()));
}

/// Returns whether all recipients interpret the framing identically. This prevents request smuggling.
static bool hasUnambiguousFraming(const request_message &request)
{
    const auto encodings = request.equal_range(http::field::transfer_encoding);
    const auto lengths = request.equal_range(http::field::content_length);
    const auto encodingCount = std::distance(encodings.first, encodings.second);
    const auto lengthCount = std::distance(lengths.first, lengths.second);
    if (encodingCount > 1 || lengthCount > 1 || (encodingCount == 1 && lengthCount == 1)) {
        return false;
    }
    return encodingCount == 0
        || (request.version() == 11 && boost::beast::iequals(encodings.first->value(), "chunked"));
}

void caller_connection::handleRequest()
{
    request_message request = m_parser->release();
    m_parser.reset();
    m_keepAlive = request.keep_alive();
    const bool isAcceptable = hasUnambiguousFraming(request) && request.target().starts_with('/')
        && (request.version() == 10 || request.count(http::field::host) == 1);
    m_requestInProgress = true;
    if (!isAcceptable) {
        m_closeAfter = true;
        reply(errorAnswer(400, "request line, host or framing is not acceptable"));
        return;
    }
    const bool isHead = request.method() == http::verb::head;
    m_abandon = m_server.handler(std::move(request), [weak = weak_from_this(), isHead](answer result) {
        const auto self = weak.lock();
        if (self && !self->m_closed) {
            result.bodyAllowed = result.bodyAllowed && !isHead;
            self->reply(std::move(result));
        }
    });
    if (!m_requestInProgress) {
        m_abandon = nullptr;
    }
}

void caller_connection::reply(answer result)
{
    m_abandon = nullptr;
    m_closeAfter = m_closeAfter || !m_keepAlive || result.closeAfter || m_server.stopping;
    result.closeAfter = m_closeAfter;
    write(result);
}

void caller_connection::write(const answer &result)
{
    m_requestInProgress = true;
    m_output = writeAnswer(result);
    boost::asio::async_write(
        m_socket, boost::asio::buffer(m_output),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t) { self->onWritten(error); });
}

void caller_connection::onWritten(const boost::system::error_code &error)
{
    m_output.clear();
    m_requestInProgress = false;
    m_idleSince = std::chrono::steady_clock::now();
    if (m_closed) {
        return;
    }
    if (error) {
        close();
        return;
    }
    if (m_closeAfter) {
        lingerThenClose();
        return;
    }
    parse();
    read();
}

void caller_connection::lingerThenClose()
{
    if (m_closed || m_lingering) {
        return;
    }
    // Closing a socket with unread bytes resets the connection, which can discard the response in transit.
    m_lingering = true;
    m_input.clear();
    m_idleSince = std::chrono::steady_clock::now();
    boost::system::error_code ignored; // The peer may have disconnected already.
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    scheduleTimeout();
    read();
}

void caller_connection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    if (m_timer) {
        m_server.timers.cancel(*m_timer);
        m_timer.reset();
    }
    boost::system::error_code ignored; // The socket is discarded in any case.
    m_socket.close(ignored);
    if (m_abandon) {
        const abandon_function abandon = std::exchange(m_abandon, nullptr);
        abandon();
    }
}

Core::time_point caller_connection::nextDeadline() const
{
    const Forward::caller_limits limits = m_server.limits();
    if (m_lingering) {
        return m_idleSince + lingerTimeout;
    }
    if (m_requestInProgress) {
        return std::chrono::steady_clock::now() + limits.idleTimeout;
    }
    if (m_parser) {
        return m_requestStartedAt + (m_parser->is_header_done() ? bodyTimeout : limits.headerTimeout);
    }
    return m_idleSince + limits.idleTimeout;
}

void caller_connection::scheduleTimeout()
{
    const Core::time_point limit = nextDeadline();
    if (m_timer) {
        // A later deadline is checked when the timer fires, so that not every request reschedules the timer.
        if ((*m_timer)->first <= limit) {
            return;
        }
        m_server.timers.cancel(*m_timer);
    }
    m_timer = m_server.timers.schedule(limit, [weak = weak_from_this()](Core::time_point now) {
        if (const auto self = weak.lock()) {
            self->onTimeout(now);
        }
    });
}

void caller_connection::onTimeout(Core::time_point now)
{
    m_timer.reset();
    if (m_closed) {
        return;
    }
    if (now < nextDeadline()) {
        scheduleTimeout();
        return;
    }
    if (m_parser && !m_lingering) {
        m_parser.reset();
        m_closeAfter = true;
        write(errorAnswer(408, "request did not arrive in time"));
        scheduleTimeout();
        return;
    }
    if (m_lingering) {
        close();
        return;
    }
    lingerThenClose();
}
} // namespace Front
