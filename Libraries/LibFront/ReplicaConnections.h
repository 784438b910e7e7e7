#pragma once

#include "LibForward/ReplicaKey.h"
#include "LibForward/ResponseMemory.h"
#include "LibFront/ReplicaEndpoint.h"
#include "LibFront/TimerQueue.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Front
{
/// The pool of connections to all replicas. The number of connections to each replica is bounded by this daemon's share
/// of the connections that the replica accepts.
class replica_connections
{
public:
    replica_connections(boost::asio::io_context &loop, timer_queue &timers, std::string requestIdField);

    /// Sends a request over an idle or new connection, or queues it until one is available. Returns its ticket. The
    /// request's callback is called later, never from within this function.
    std::uint64_t submit(const Forward::replica_key &key, const std::string &address, std::size_t maximumConnections,
                         replica_exchange exchange);
    /// Cancels an exchange without calling its callback. Closes the connection that it uses.
    /// Returns whether the request had been assigned to a connection.
    bool cancel(const Forward::replica_key &key, std::uint64_t ticket);
    /// Cancels an exchange that is still queued, without calling its callback. Returns whether it was queued.
    bool cancelWaiting(const Forward::replica_key &key, std::uint64_t ticket);
    /// Closes the connections to a removed replica: idle ones immediately, others after their current exchange.
    void closeConnections(const Forward::replica_key &key);

    /// Closes idle connections to each replica beyond `maximumConnections`. Others may need their places.
    void closeIdleBeyond(std::size_t maximumConnections);

    [[nodiscard]] std::uint64_t openedCount() const;
    /// Returns how often an idle connection was passed over because it had carried the request before.
    [[nodiscard]] std::uint64_t passedOverCount() const;
    /// Sets how many bytes of responses may be held at once, of all replicas together.
    void setResponseMemory(std::size_t bytes);
    /// Returns how many responses were dropped because all of them together exceeded that.
    [[nodiscard]] std::uint64_t droppedResponseCount() const;

private:
    void dispatch(const Forward::replica_key &key);
    bool sendOnIdleConnection(replica_endpoint &endpoint, Core::time_point now);
    void openConnection(const Forward::replica_key &key, replica_endpoint &endpoint, Core::time_point now);
    [[nodiscard]] bool isUsableFor(const replica_exchange &exchange, const replica_connection &connection,
                                   Core::time_point now);
    void recordHeldBytes(std::uint64_t number, const std::weak_ptr<replica_connection> &connection, std::size_t bytes);
    static void pruneClosed(replica_endpoint &endpoint);

    boost::asio::io_context &m_loop;
    timer_queue &m_timers;
    std::string m_requestIdField;
    std::map<Forward::replica_key, replica_endpoint> m_endpoints;
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_openedCount = 0;
    std::uint64_t m_passedOverCount = 0;
    std::uint64_t m_droppedResponseCount = 0;
    Forward::response_memory m_responseMemory;
    std::map<std::uint64_t, std::weak_ptr<replica_connection>> m_receiving; ///< Connections that hold large responses.
};
} // namespace Front
