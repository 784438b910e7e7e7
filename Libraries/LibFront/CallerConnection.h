#pragma once

#include "LibCore/Time.h"
#include "LibFront/ExchangeHandler.h"
#include "LibFront/TimerQueue.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace Front
{
struct server_state;

/// A connection from a caller. Pipelined requests are processed sequentially in order; bytes of later requests are
/// buffered. Shared ownership: pending operations of the event loop keep the connection alive.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(boost::asio::ip::tcp::socket socket, server_state &server);
    ~caller_connection();

    void start();
    /// Closes the connection if it is idle, otherwise after the response to the current request.
    void closeWhenIdle();
    /// Answers the request in progress as unfinished, since the process is about to exit. Does nothing if there is
    /// none.
    void answerUnfinished();

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void parse();
    void rejectRequest(const boost::system::error_code &error);
    void handleRequest();
    void reply(answer result);
    void write(const answer &result);
    void onWritten(const boost::system::error_code &error);
    void lingerThenClose();
    void close();
    void scheduleTimeout();
    void onTimeout(Core::time_point now);
    [[nodiscard]] Core::time_point nextDeadline() const;

    boost::asio::ip::tcp::socket m_socket;
    server_state &m_server;
    std::array<char, 4096> m_chunk {}; ///< Large enough for a typical request without a body.
    std::string m_input; ///< Bytes received but not parsed yet.
    std::string m_output;
    std::optional<request_parser> m_parser;
    abandon_function m_abandon;
    std::optional<timer_queue::handle> m_timer;
    Core::time_point m_idleSince;
    Core::time_point m_requestStartedAt; ///< Arrival of the first byte of the request that is being read.
    bool m_reading = false;
    bool m_requestInProgress = false; ///< A request was dispatched and its response is not written yet.
    bool m_keepAlive = false; ///< The current request allows a further one on this connection.
    bool m_closeAfter = false;
    bool m_lingering = false;
    bool m_closed = false;
};
} // namespace Front
