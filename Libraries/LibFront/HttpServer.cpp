#include "LibFront/HttpServer.h"

#include "LibFront/CallerConnection.h"
#include "LibFront/Endpoint.h"

#include <stdexcept>
#include <utility>
#include <vector>

namespace Front
{
using tcp = boost::asio::ip::tcp;
using namespace std::chrono_literals;

static constexpr int backlog = 1024; ///< Large, because a dropped SYN delays the caller by seconds.
static constexpr Core::duration acceptRetryDelay = 100ms; ///< Delay after a failed accept, for descriptors to be freed.

static tcp::endpoint listenEndpoint(const std::string &address)
{
    const std::optional<endpoint> parsed = parseEndpoint(address);
    if (!parsed) {
        throw std::invalid_argument("listen address " + address + " is not an IP address and port");
    }
    return {parsed->address, parsed->port};
}

http_server::http_server(boost::asio::io_context &loop, timer_queue &timers, const std::string &address,
                         exchange_handler handler, std::function<Forward::caller_limits()> limits)
    : m_acceptor(loop)
    , m_address(listenEndpoint(address))
    , m_binder(timers)
    , m_state {timers, std::move(handler), std::move(limits), {}, false}
{
}

void http_server::listen(Core::duration patience, address_binder::end_function onEnd)
{
    m_binder.start(
        patience, [this]() { return openAcceptor(); },
        [this, onEnd = std::move(onEnd)](const boost::system::error_code &error) {
            m_listening = !error;
            if (m_listening) {
                accept();
            }
            onEnd(error);
        });
}

boost::system::error_code http_server::openAcceptor()
{
    boost::system::error_code ignored; // An acceptor that is not open yet cannot be closed.
    m_acceptor.close(ignored);
    boost::system::error_code error;
    m_acceptor.open(m_address.protocol(), error);
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(m_address, error);
    }
    if (!error) {
        m_acceptor.listen(backlog, error);
    }
    return error;
}

bool http_server::isListening() const
{
    return m_listening;
}

void http_server::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            m_state.timers.schedule(std::chrono::steady_clock::now() + acceptRetryDelay,
                                    [this](Core::time_point) { accept(); });
            return;
        }
        accept();
        std::make_shared<caller_connection>(std::move(socket), m_state)->start();
    });
}

void http_server::beginGracefulStop()
{
    m_state.stopping = true;
}

void http_server::stopAccepting()
{
    m_binder.stop();
    boost::system::error_code ignored; // The process is about to exit.
    m_acceptor.close(ignored);
    for (const auto &connection : openConnections()) {
        connection->closeWhenIdle();
    }
}

void http_server::answerUnfinished()
{
    for (const auto &connection : openConnections()) {
        connection->answerUnfinished();
    }
}

std::vector<std::shared_ptr<caller_connection>> http_server::openConnections() const
{
    std::vector<std::shared_ptr<caller_connection>> open;
    for (const auto &[address, weak] : m_state.connections) {
        if (auto connection = weak.lock()) {
            open.push_back(std::move(connection));
        }
    }
    return open;
}

std::size_t http_server::connectionCount() const
{
    return m_state.connections.size();
}
} // namespace Front
