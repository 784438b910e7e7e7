#pragma once

#include "LibForward/ReplicaKey.h"
#include "LibFront/ReplicaEndpoint.h"
#include "LibFront/TimerQueue.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace Front
{
/// All connections to replicas. Each replica gets this daemon's part of the connections that it accepts.
class replica_connections
{
public:
    replica_connections(boost::asio::io_context &loop, timer_queue &timers, std::string requestIdField);

    /// Sends a request over a kept or new connection, or as soon as one comes free. Returns its ticket.
    std::uint64_t submit(const Forward::replica_key &key, const std::string &address, std::size_t mostConnections,
                         replica_exchange exchange);
    /// Ends an exchange without its callback. Closes the connection that it runs on.
    /// Returns whether the request had been handed to a connection.
    bool cancel(const Forward::replica_key &key, std::uint64_t ticket);
    /// Ends an exchange that still waits for a connection, without its callback. Returns whether there was one.
    bool cancelWaiting(const Forward::replica_key &key, std::uint64_t ticket);
    /// Closes the idle connections to a replica that is gone; running exchanges end first.
    void drop(const Forward::replica_key &key);

    [[nodiscard]] std::uint64_t opened() const;

private:
    void dispatch(const Forward::replica_key &key);
    bool sendOnIdle(replica_endpoint &endpoint, Core::time_point now);
    void openConnection(const Forward::replica_key &key, replica_endpoint &endpoint, Core::time_point now);
    static void pruneClosed(replica_endpoint &endpoint);

    boost::asio::io_context &m_loop;
    timer_queue &m_timers;
    std::string m_requestIdField;
    std::map<Forward::replica_key, replica_endpoint> m_endpoints;
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_opened = 0;
};
} // namespace Front
