#include "LibFront/ReplicaConnection.h"

#include "LibFront/ReplyHead.h"
#include "LibHttp/HeaderSyntax.h"
#include "LibHttp/StatusKind.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include <netinet/tcp.h>

namespace Front
{
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using namespace std::chrono_literals;

static constexpr Core::duration connectTimeout = 1s; ///< A live peer completes the handshake within one round trip.
/// After this time without an acknowledgement a peer is considered unreachable.
static constexpr int userTimeoutMilliseconds = 2000;
static constexpr int keepAliveProbeSeconds = 1; ///< Time before the first keep-alive probe, and between probes.
static constexpr int maximumLostProbes = 2;
/// Idle timeout of a persistent connection if the replica does not state one.
static constexpr std::chrono::seconds defaultIdleTime = 4s;
/// Safety margin: replicas measure the idle time from their own last byte, and some close early.
static constexpr double usableIdleFraction = 0.6;
/// A replica is unlikely to close a connection this soon after its last use.
static constexpr Core::duration maximumFreshIdleTime = 400ms;
static constexpr std::uint32_t maximumHeaderBytes = 64 * 1024; ///< A response with a larger header is malformed.
/// Bytes that the parser has not taken because a line or a header goes on. It limits headers, but not the lines between
/// chunks and after the last one.
static constexpr std::size_t maximumUnparsedBytes = 131'072;
/// Larger than any page of the store and any full copy of the change feed.
static constexpr std::uint64_t maximumBodyBytes = 16'777'216;
/// Interim responses and late responses to earlier requests before the expected one.
static constexpr unsigned maximumSkippedResponses = 16;

replica_connection::replica_connection(boost::asio::io_context &loop, timer_queue &timers, std::string requestIdField,
                                       state_change_callback onStateChange)
    : m_socket(loop)
    , m_timers(timers)
    , m_requestIdField(std::move(requestIdField))
    , m_onStateChange(std::move(onStateChange))
{
}

void replica_connection::setHeldBytesCallback(held_bytes_callback onHeldBytes)
{
    m_onHeldBytes = std::move(onHeldBytes);
}

void replica_connection::connect(const tcp::endpoint &address)
{
    m_connectTimer = m_timers.schedule(std::chrono::steady_clock::now() + connectTimeout,
                                       [weak = weak_from_this()](Core::time_point) {
                                           if (const auto self = weak.lock()) {
                                               self->m_connectTimer.reset();
                                               self->fail(Forward::attempt_failure::NotSent);
                                           }
                                       });
    m_socket.async_connect(
        address, [self = shared_from_this()](const boost::system::error_code &error) { self->onConnected(error); });
}

void replica_connection::onConnected(const boost::system::error_code &error)
{
    if (m_closed) {
        return;
    }
    if (m_connectTimer) {
        m_timers.cancel(*std::exchange(m_connectTimer, std::nullopt));
    }
    if (error) {
        fail(Forward::attempt_failure::NotSent);
        return;
    }
    m_connected = true;
    m_lastUsed = std::chrono::steady_clock::now();
    boost::system::error_code ignored; // Without these options responses are delayed but still correct.
    m_socket.set_option(tcp::no_delay(true), ignored);
    using user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    m_socket.set_option(user_timeout(userTimeoutMilliseconds), ignored);
    // Keep-alive probes detect a peer that has lost the connection state; a pending read alone would not.
    using probe_idle = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using probe_interval = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using probe_count = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    m_socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    m_socket.set_option(probe_idle(keepAliveProbeSeconds), ignored);
    m_socket.set_option(probe_interval(keepAliveProbeSeconds), ignored);
    m_socket.set_option(probe_count(maximumLostProbes), ignored);
    read();
    if (m_exchange) {
        write();
    }
}

void replica_connection::send(replica_exchange exchange, Core::time_point now)
{
    m_exchange = std::move(exchange);
    m_lastUsed = now;
    m_requestText.clear();
    m_requestSent = false;
    m_skippedResponses = 0;
    startParser();
    if (m_connected) {
        write();
    }
}

void replica_connection::startParser()
{
    m_parser.emplace();
    m_parser->eager(false); // Stops after the head, so that acceptHead() sees it before any part of the body.
    m_parser->body_limit(maximumBodyBytes);
    m_parser->header_limit(maximumHeaderBytes);
    m_parser->skip(m_exchange->isHead);
}

void replica_connection::write()
{
    std::optional<std::string> text = m_exchange->makeText(std::chrono::steady_clock::now());
    if (!text) {
        // The sender must not get the result before send() has returned to it.
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), ticket = m_exchange->ticket]() {
            if (self->m_exchange && self->m_exchange->ticket == ticket) {
                self->withdraw();
            }
        });
        return;
    }
    Forward::recordCarried(m_carried, m_exchange->requestId);
    m_requestText = std::move(*text);
    boost::asio::async_write(
        m_socket, boost::asio::buffer(m_requestText),
        [self = shared_from_this(), ticket = m_exchange->ticket](const boost::system::error_code &error, std::size_t) {
            if (self->m_exchange && self->m_exchange->ticket == ticket) {
                // A failed write is also reported by the read, after any data that the replica sent before.
                self->m_requestSent = !error;
            }
        });
}

void replica_connection::withdraw()
{
    exchange_result result;
    result.failure = Forward::attempt_failure::Withdrawn;
    finish(std::move(result));
}

void replica_connection::read()
{
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
                             [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                                 self->onRead(error, size);
                             });
}

void replica_connection::onRead(const boost::system::error_code &error, std::size_t size)
{
    if (m_closed) {
        return;
    }
    if (error) {
        // Only an orderly close (EOF) may complete a response without a length.
        if (error == boost::asio::error::eof && m_parser && m_parser->got_some()) {
            boost::system::error_code incomplete;
            m_parser->put_eof(incomplete);
            if (!incomplete && m_parser->is_done()) {
                m_reusable = false;
                onResponseComplete();
                return;
            }
        }
        fail(m_requestText.empty() ? Forward::attempt_failure::NotSent : Forward::attempt_failure::ConnectionLost);
        return;
    }
    if (!m_exchange) {
        // No request is pending: this is an extra late response, or the rest of a malformed one.
        close();
        m_onStateChange();
        return;
    }
    if (m_requestText.empty()) {
        // Nothing was sent yet, so that this is no response to the request.
        fail(Forward::attempt_failure::NotSent);
        return;
    }
    m_input.append(m_chunk.data(), size);
    parse();
    if (m_input.size() > maximumUnparsedBytes) {
        fail(Forward::attempt_failure::ConnectionLost);
    }
    if (m_exchange && m_parser) {
        reportHeldBytes(m_input.size() + m_parser->get().body().size());
    }
    if (!m_closed) {
        read();
    }
}

void replica_connection::reportHeldBytes(std::size_t bytes)
{
    if (m_onHeldBytes) {
        m_onHeldBytes(bytes);
    }
}

void replica_connection::parse()
{
    while (m_exchange && !m_input.empty()) {
        const bool isInHead = !m_parser->is_header_done();
        boost::system::error_code error;
        const std::size_t used = m_parser->put(boost::asio::buffer(m_input), error);
        // The parser takes a field together with the lines that continue it.
        const bool isFolded = isInHead && Http::hasFoldedLine(std::string_view(m_input).substr(0, used));
        m_input.erase(0, used);
        if (isFolded) {
            fail(Forward::attempt_failure::ConnectionLost, response_fault::FoldedLine);
            return;
        }
        if (error && error != http::error::need_more) {
            fail(Forward::attempt_failure::ConnectionLost, response_fault::Syntax);
            return;
        }
        const bool isHeadComplete = isInHead && m_parser->is_header_done();
        if (isHeadComplete && !acceptHead()) {
            return;
        }
        if (m_parser->is_done()) {
            onResponseComplete();
        } else if (!isHeadComplete) {
            return;
        }
    }
}

bool replica_connection::acceptHead()
{
    const std::optional<response_fault> fault = findHeadFault(m_parser->get().base(), m_requestIdField);
    if (fault) {
        fail(Forward::attempt_failure::ConnectionLost, fault);
        return false;
    }
    // The parser adds the fields of a trailer to its own message. They are dropped with it (RFC 9110, section 6.5.1).
    m_head = std::move(m_parser->get().base());
    m_parser->eager(true);
    return true;
}

void replica_connection::onResponseComplete()
{
    const bool isInterim = Http::statusKindOf(m_head.result_int()) == Http::status_kind::Interim;
    const auto responseId = m_requestIdField.empty() ? m_head.end() : m_head.find(m_requestIdField);
    const bool hasId = responseId != m_head.end();
    const bool isForeign = !isInterim && hasId && responseId->value() != m_exchange->requestId;
    if (isInterim || isForeign) {
        // A foreign response belongs to an earlier request. The expected one may follow, but requests and responses on
        // this connection are no longer in step, so it is not reused.
        m_reusable = m_reusable && !isForeign;
        if (++m_skippedResponses > maximumSkippedResponses) {
            fail(Forward::attempt_failure::ConnectionLost);
            return;
        }
        startParser();
        return;
    }
    if (!hasId && !m_requestIdField.empty() && m_completedExchanges > 0) {
        // Nothing shows that the response is not a late copy of an earlier one.
        fail(Forward::attempt_failure::ConnectionLost);
        return;
    }
    ++m_completedExchanges;
    reply_message reply = m_parser->release();
    reply.base() = std::move(m_head);
    m_reusable = m_reusable && m_requestSent && m_input.empty() && reply.keep_alive();
    updateIdleDeadline(reply);
    exchange_result result;
    result.reply = std::move(reply);
    finish(std::move(result));
}

/// Parses the timeout in seconds of a Keep-Alive field such as "timeout=5, max=100".
static std::optional<std::chrono::seconds> parseKeepAliveTimeout(std::string_view field)
{
    constexpr std::string_view parameter = "timeout=";
    const auto position =
        std::search(field.begin(), field.end(), parameter.begin(), parameter.end(), [](char left, char right) {
            return boost::beast::iequals({&left, 1}, {&right, 1});
        });
    if (position == field.end()) {
        return std::nullopt;
    }
    const std::string_view digits = field.substr(static_cast<std::size_t>(position - field.begin()) + parameter.size());
    long seconds = 0;
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return failure == std::errc() ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

void replica_connection::updateIdleDeadline(const reply_message &reply)
{
    const Core::duration idleTime = parseKeepAliveTimeout(reply[http::field::keep_alive]).value_or(defaultIdleTime);
    m_lastUsed = std::chrono::steady_clock::now();
    m_reusableUntil = m_lastUsed + std::chrono::duration_cast<Core::duration>(idleTime * usableIdleFraction);
}

void replica_connection::finish(exchange_result result)
{
    const auto self = shared_from_this();
    reportHeldBytes(0);
    const replica_exchange exchange = std::move(*std::exchange(m_exchange, std::nullopt));
    m_parser.reset();
    if (!m_reusable) {
        close();
    }
    exchange.onComplete(std::move(result));
    m_onStateChange();
}

void replica_connection::fail(Forward::attempt_failure failure, std::optional<response_fault> fault)
{
    m_reusable = false;
    if (m_exchange) {
        exchange_result result;
        result.failure = failure;
        result.fault = fault;
        finish(std::move(result));
        return;
    }
    close();
    m_onStateChange();
}

void replica_connection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    reportHeldBytes(0);
    m_exchange.reset();
    m_parser.reset();
    if (m_connectTimer) {
        m_timers.cancel(*std::exchange(m_connectTimer, std::nullopt));
    }
    boost::system::error_code ignored; // The socket is discarded in any case.
    m_socket.close(ignored);
}

void replica_connection::abort()
{
    fail(Forward::attempt_failure::ConnectionLost);
}

bool replica_connection::isOpen() const
{
    return !m_closed;
}

bool replica_connection::isIdle() const
{
    return !m_closed && !m_exchange;
}

bool replica_connection::isUsable(bool needsFreshConnection, Core::time_point now) const
{
    return isIdle() && m_reusable && now < m_reusableUntil
        && (!needsFreshConnection || now - m_lastUsed < maximumFreshIdleTime);
}

bool replica_connection::mayCarry(const std::string &requestId) const
{
    return Forward::mayCarry(m_carried, requestId);
}

std::uint64_t replica_connection::ticket() const
{
    return m_exchange ? m_exchange->ticket : 0;
}

void replica_connection::closeAfterExchange()
{
    m_reusable = false;
    if (isIdle()) {
        close();
    }
}
} // namespace Front
