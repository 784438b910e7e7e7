#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Wire
{
/// The settings of a peer network.
struct peer_network_options {
    std::string listenAddress; ///< IP address that peers connect to.
    std::uint16_t port = 0; ///< 0: the kernel chooses one; see peer_network::port().
    std::chrono::milliseconds connectTimeout {500};
    std::chrono::milliseconds callTimeout {1500}; ///< For gossip, resolve and configuration calls.
    std::chrono::milliseconds pingInterval {250}; ///< Between pings on a connection with running calls.
    std::chrono::milliseconds pingTimeout {1000}; ///< Closes the connection if a ping is not answered in time.
};
} // namespace Wire
