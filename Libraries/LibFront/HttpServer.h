#pragma once

#include "LibFront/AddressBinder.h"
#include "LibFront/ServerState.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Front
{
/// Listens on one address and passes each request to a handler.
class http_server
{
public:
    /// Throws std::invalid_argument if the address is malformed.
    http_server(boost::asio::io_context &loop, timer_queue &timers, const std::string &address,
                exchange_handler handler, std::function<Forward::caller_limits()> limits);

    /// Starts to listen, as soon as the address is free. `onEnd` is called once, with the error if the server cannot
    /// listen within `patience`.
    void listen(Core::duration patience, address_binder::end_function onEnd);
    [[nodiscard]] bool isListening() const;

    /// From now on every response asks the caller to close its connection.
    void beginGracefulStop();
    /// Stops accepting connections, closes idle ones, and closes each other one after its current request.
    void stopAccepting();
    /// Answers all requests in progress as unfinished.
    void answerUnfinished();
    [[nodiscard]] std::size_t connectionCount() const;

private:
    [[nodiscard]] boost::system::error_code openAcceptor();
    void accept();
    [[nodiscard]] std::vector<std::shared_ptr<caller_connection>> openConnections() const;

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_address;
    address_binder m_binder;
    bool m_listening = false;
    server_state m_state;
};
} // namespace Front
