#pragma once

#include "LibCore/Time.h"
#include "LibForward/CarriedRequests.h"
#include "LibFront/ReplicaExchange.h"
#include "LibFront/TimerQueue.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Front
{
/// A connection to a replica, which serves one request at a time on it.
/// Shared ownership: pending operations of the event loop keep the connection alive.
class replica_connection : public std::enable_shared_from_this<replica_connection>
{
public:
    /// Called after the connection has become idle or has closed.
    using state_change_callback = std::function<void()>;
    /// Receives how many bytes of a response the connection holds; 0 when the exchange has ended.
    using held_bytes_callback = std::function<void(std::size_t)>;

    replica_connection(boost::asio::io_context &loop, timer_queue &timers, std::string requestIdField,
                       state_change_callback onStateChange);

    void setHeldBytesCallback(held_bytes_callback onHeldBytes);
    /// Starts to connect. The first exchange may be sent immediately; it is delayed until the connection is
    /// established.
    void connect(const boost::asio::ip::tcp::endpoint &address);
    void send(replica_exchange exchange, Core::time_point now);
    /// Closes the connection. The callback of a running exchange is not called.
    void close();
    /// Closes the connection. A running exchange fails as if the connection had been lost.
    void abort();

    [[nodiscard]] bool isOpen() const;
    [[nodiscard]] bool isIdle() const;
    /// Returns whether the connection is idle and may be reused for a request.
    [[nodiscard]] bool isUsable(bool needsFreshConnection, Core::time_point now) const;
    /// Returns whether the response to the request can be told from late copies of earlier responses on the connection.
    [[nodiscard]] bool mayCarry(const std::string &requestId) const;
    [[nodiscard]] std::uint64_t ticket() const;
    /// Closes the connection as soon as it is idle.
    void closeAfterExchange();

private:
    using reply_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void onConnected(const boost::system::error_code &error);
    void write();
    /// Ends the exchange without having sent it.
    void withdraw();
    void read();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void startParser();
    void parse();
    /// Checks the head of a response before its body is read. Returns false if it ended the exchange.
    [[nodiscard]] bool acceptHead();
    void onResponseComplete();
    void finish(exchange_result result);
    void fail(Forward::attempt_failure failure, std::optional<response_fault> fault = std::nullopt);
    void reportHeldBytes(std::size_t bytes);
    void updateIdleDeadline(const reply_message &reply);

    boost::asio::ip::tcp::socket m_socket;
    timer_queue &m_timers;
    std::string m_requestIdField;
    state_change_callback m_onStateChange;
    held_bytes_callback m_onHeldBytes;
    std::optional<timer_queue::handle> m_connectTimer;
    std::array<char, 4096> m_chunk {}; ///< Large enough for most responses.
    std::string m_input;
    std::optional<reply_parser> m_parser;
    reply_head m_head; ///< Of the response that is being received; valid once acceptHead() has returned true.
    std::optional<replica_exchange> m_exchange;
    std::string m_requestText; ///< The request that is being sent; empty before its first byte is sent.
    Forward::carried_requests m_carried;
    Core::time_point m_reusableUntil =
        Core::time_point::max(); ///< After this the replica may close an idle connection.
    Core::time_point m_lastUsed;
    unsigned m_skippedResponses = 0; ///< Since the current request was sent.
    std::size_t m_completedExchanges = 0;
    bool m_connected = false;
    bool m_closed = false;
    bool m_requestSent = false; ///< The complete request was passed to the operating system.
    bool m_reusable = true;
};
} // namespace Front
