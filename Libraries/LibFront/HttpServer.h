#pragma once

#include "LibFront/ServerState.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace Front
{
/// Listens on one address and hands each request to a handler.
class http_server
{
public:
    /// Throws boost::system::system_error if the address cannot be listened on.
    http_server(boost::asio::io_context &loop, timer_queue &timers, const std::string &address,
                exchange_handler handler, std::function<Forward::caller_limits()> limits);

    /// From now on every answer asks the caller to close its connection.
    void startStopping();
    /// Takes no more connections and closes the idle ones.
    void stopAccepting();
    [[nodiscard]] std::size_t connectionCount() const;

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    server_state m_state;
};
} // namespace Front
