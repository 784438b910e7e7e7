#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>

/// One connection that sends the bytes that a test says and collects those that come.
struct raw_connection : std::enable_shared_from_this<raw_connection> {
    explicit raw_connection(boost::asio::ip::tcp::socket connected)
        : socket(std::move(connected))
    {
    }

    void read(std::function<void(raw_connection &)> onBytes)
    {
        socket.async_read_some(boost::asio::buffer(chunk),
                               [self = shared_from_this(), onBytes = std::move(onBytes)](
                                   const boost::system::error_code &error, std::size_t size) {
                                   if (error) {
                                       self->ended = true;
                                       self->wasReset = error == boost::asio::error::connection_reset;
                                       return;
                                   }
                                   self->received.append(self->chunk.data(), size);
                                   onBytes(*self);
                                   self->read(onBytes);
                               });
    }

    /// Sends all bytes. A peer that is gone by now shows in `ended`.
    void send(const std::string &bytes)
    {
        boost::system::error_code error;
        boost::asio::write(socket, boost::asio::buffer(bytes), error);
        ended = ended || error;
    }

    /// Ends the connection in order.
    void finish()
    {
        boost::system::error_code ignored; // The peer may have ended it already.
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }

    void reset()
    {
        boost::system::error_code ignored; // The peer may have ended it already.
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    boost::asio::ip::tcp::socket socket;
    std::array<char, 4096> chunk {};
    std::string received;
    bool ended = false;
    bool wasReset = false;
};
