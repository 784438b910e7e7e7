#pragma once

#include "LibCore/Verify.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>

/// A peer that never answers. The kernel accepts connections into the backlog of its listening socket.
class unresponsive_peer
{
public:
    unresponsive_peer()
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        VERIFY(::bind(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
        VERIFY(::listen(m_socket, 16) == 0);
        socklen_t size = sizeof(address);
        ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
    }
    ~unresponsive_peer()
    {
        ::close(m_socket);
    }
    unresponsive_peer(const unresponsive_peer &) = delete;
    unresponsive_peer &operator=(const unresponsive_peer &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }
    std::uint16_t port() const
    {
        return m_port;
    }

private:
    int m_socket;
    std::uint16_t m_port = 0;
};
