#pragma once

#include "LibFront/ReplicaExchange.h"

#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <memory>
#include <vector>

namespace Front
{
class replica_connection;

/// The connections to one replica, and the requests queued for one.
struct replica_endpoint {
    boost::asio::ip::tcp::endpoint address;
    bool hasAddress = false;
    std::size_t maximumConnections = 1;
    std::vector<std::shared_ptr<replica_connection>> connections;
    std::deque<replica_exchange> waiting;
};
} // namespace Front
