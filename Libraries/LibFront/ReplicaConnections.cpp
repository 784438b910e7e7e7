#include "LibFront/ReplicaConnections.h"

#include "LibFront/Endpoint.h"
#include "LibFront/ReplicaConnection.h"

#include <algorithm>
#include <utility>

namespace Front
{
replica_connections::replica_connections(boost::asio::io_context &loop, timer_queue &timers, std::string requestIdField)
    : m_loop(loop)
    , m_timers(timers)
    , m_requestIdField(std::move(requestIdField))
{
}

std::uint64_t replica_connections::submit(const Forward::replica_key &key, const std::string &address,
                                          std::size_t maximumConnections, replica_exchange exchange)
{
    replica_endpoint &endpoint = m_endpoints[key];
    if (!endpoint.hasAddress) {
        const std::optional<Front::endpoint> parsed = parseEndpoint(address);
        if (parsed) {
            endpoint.address = {parsed->address, parsed->port};
            endpoint.hasAddress = true;
        }
    }
    endpoint.maximumConnections = std::max<std::size_t>(maximumConnections, 1);
    exchange.ticket = m_nextTicket++;
    const std::uint64_t ticket = exchange.ticket;
    endpoint.waiting.push_back(std::move(exchange));
    dispatch(key);
    return ticket;
}

void replica_connections::pruneClosed(replica_endpoint &endpoint)
{
    std::erase_if(endpoint.connections, [](const auto &connection) { return !connection->isOpen(); });
}

bool replica_connections::isUsableFor(const replica_exchange &exchange, const replica_connection &connection,
                                      Core::time_point now)
{
    if (!connection.isUsable(exchange.needsFreshConnection, now)) {
        return false;
    }
    const bool mayCarry = connection.mayCarry(exchange.requestId);
    m_passedOverCount += mayCarry ? 0 : 1;
    return mayCarry;
}

bool replica_connections::sendOnIdleConnection(replica_endpoint &endpoint, Core::time_point now)
{
    // Prefer the newest connection, usually the most recently used: the replica is the least likely to close it.
    for (auto connection = endpoint.connections.rbegin(); connection != endpoint.connections.rend(); ++connection) {
        if (isUsableFor(endpoint.waiting.front(), **connection, now)) {
            replica_exchange exchange = std::move(endpoint.waiting.front());
            endpoint.waiting.pop_front();
            (*connection)->send(std::move(exchange), now);
            return true;
        }
    }
    return false;
}

void replica_connections::openConnection(const Forward::replica_key &key, replica_endpoint &endpoint,
                                         Core::time_point now)
{
    ++m_openedCount;
    const auto connection =
        std::make_shared<replica_connection>(m_loop, m_timers, m_requestIdField, [this, key]() { dispatch(key); });
    connection->setHeldBytesCallback(
        [this, number = m_openedCount, weak = std::weak_ptr<replica_connection>(connection)](std::size_t bytes) {
            recordHeldBytes(number, weak, bytes);
        });
    replica_exchange exchange = std::move(endpoint.waiting.front());
    endpoint.waiting.pop_front();
    endpoint.connections.push_back(connection);
    connection->send(std::move(exchange), now);
    connection->connect(endpoint.address);
}

void replica_connections::recordHeldBytes(std::uint64_t number, const std::weak_ptr<replica_connection> &connection,
                                          std::size_t bytes)
{
    if (bytes == 0) {
        Forward::releaseResponseBytes(m_responseMemory, number);
        m_receiving.erase(number);
        return;
    }
    const std::optional<std::uint64_t> largest = Forward::recordResponseBytes(m_responseMemory, number, bytes);
    if (m_responseMemory.bytesByConnection.contains(number)) {
        m_receiving[number] = connection;
    }
    const auto receiving = largest ? m_receiving.find(*largest) : m_receiving.end();
    const auto dropped = receiving == m_receiving.end() ? nullptr : receiving->second.lock();
    if (dropped) {
        ++m_droppedResponseCount;
        dropped->abort();
    }
}

void replica_connections::dispatch(const Forward::replica_key &key)
{
    replica_endpoint &endpoint = m_endpoints[key];
    const Core::time_point now = std::chrono::steady_clock::now();
    pruneClosed(endpoint);
    while (!endpoint.waiting.empty()) {
        if (sendOnIdleConnection(endpoint, now)) {
            continue;
        }
        if (endpoint.connections.size() >= endpoint.maximumConnections) {
            // Replace an idle connection that cannot be used for the request by a new one.
            const auto unusable = std::find_if(endpoint.connections.begin(), endpoint.connections.end(),
                                               [](const auto &connection) { return connection->isIdle(); });
            if (unusable == endpoint.connections.end()) {
                return;
            }
            (*unusable)->close();
            endpoint.connections.erase(unusable);
        }
        openConnection(key, endpoint, now);
    }
}

bool replica_connections::cancelWaiting(const Forward::replica_key &key, std::uint64_t ticket)
{
    replica_endpoint &endpoint = m_endpoints[key];
    const auto waiting = std::find_if(endpoint.waiting.begin(), endpoint.waiting.end(),
                                      [&](const replica_exchange &exchange) { return exchange.ticket == ticket; });
    if (waiting == endpoint.waiting.end()) {
        return false;
    }
    endpoint.waiting.erase(waiting);
    return true;
}

bool replica_connections::cancel(const Forward::replica_key &key, std::uint64_t ticket)
{
    if (cancelWaiting(key, ticket)) {
        return false;
    }
    replica_endpoint &endpoint = m_endpoints[key];
    for (const auto &connection : endpoint.connections) {
        if (connection->ticket() == ticket) {
            connection->close();
            break;
        }
    }
    dispatch(key);
    return true;
}

void replica_connections::closeConnections(const Forward::replica_key &key)
{
    replica_endpoint &endpoint = m_endpoints[key];
    for (const auto &connection : endpoint.connections) {
        connection->closeAfterExchange();
    }
    pruneClosed(endpoint);
    endpoint.hasAddress = false;
}

void replica_connections::closeIdleBeyond(std::size_t maximumConnections)
{
    for (auto &[key, endpoint] : m_endpoints) {
        pruneClosed(endpoint);
        std::size_t excess = endpoint.connections.size() - std::min(endpoint.connections.size(), maximumConnections);
        for (const auto &connection : endpoint.connections) {
            if (excess > 0 && connection->isIdle()) {
                connection->close();
                --excess;
            }
        }
        pruneClosed(endpoint);
    }
}

std::uint64_t replica_connections::openedCount() const
{
    return m_openedCount;
}

void replica_connections::setResponseMemory(std::size_t bytes)
{
    m_responseMemory.limit = bytes;
}

std::uint64_t replica_connections::droppedResponseCount() const
{
    return m_droppedResponseCount;
}

std::uint64_t replica_connections::passedOverCount() const
{
    return m_passedOverCount;
}
} // namespace Front
