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

/// One caller's connection. Requests are answered one after the other, in their order; bytes of later ones wait.
/// Shared ownership: the event loop's pending operations keep the connection alive.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(boost::asio::ip::tcp::socket socket, server_state &server);
    ~caller_connection();

    void start();
    /// Closes the connection if no request is in work, and otherwise after the answer.
    void closeWhenIdle();

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void onRead(const boost::system::error_code &error, std::size_t size);
    void parse();
    void refuse(const boost::system::error_code &error);
    void handleRequest();
    void reply(answer result);
    void write(const answer &result);
    void onWritten(const boost::system::error_code &error);
    void lingerThenClose();
    void close();
    void watchTime();
    void onTime(Core::time_point now);
    [[nodiscard]] Core::time_point nextLimit() const;

    boost::asio::ip::tcp::socket m_socket;
    server_state &m_server;
    std::array<char, 4096> m_chunk {}; ///< Requests without a body fit.
    std::string m_input; ///< Bytes that were received and not parsed yet.
    std::string m_output;
    std::optional<request_parser> m_parser;
    abandon_function m_abandon;
    std::optional<timer_queue::handle> m_timer;
    Core::time_point m_idleSince;
    Core::time_point m_requestSince; ///< When the first byte of the request that is being read came.
    bool m_reading = false;
    bool m_inWork = false; ///< A request has been handed on and its answer is not written yet.
    bool m_keepsAlive = false; ///< The request in work allows a further one.
    bool m_closeAfter = false;
    bool m_lingering = false;
    bool m_closed = false;
};
} // namespace Front
