#include "StandIns/RawConnection.h"

#include "LibCore/Verify.h"

#include <arpa/inet.h>
#include <boost/json/parse.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>

namespace StandIns
{
raw_connection::raw_connection(std::uint16_t port)
    : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    VERIFY(m_socket >= 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    VERIFY(::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
}

raw_connection::~raw_connection()
{
    ::close(m_socket);
}

bool raw_connection::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void raw_connection::closeSending() const
{
    ::shutdown(m_socket, SHUT_WR);
}

bool raw_connection::receive(std::string &received, Core::duration quiet)
{
    std::array<char, 4096> buffer {};
    pollfd waiting {m_socket, POLLIN, 0};
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(quiet).count();
    if (::poll(&waiting, 1, static_cast<int>(milliseconds)) <= 0) {
        return false;
    }
    const ssize_t size = ::recv(m_socket, buffer.data(), buffer.size(), 0);
    m_closed = size <= 0;
    if (!m_closed) {
        received.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return !m_closed;
}

std::string raw_connection::read(Core::duration quiet)
{
    std::string received;
    while (receive(received, quiet)) { }
    return received;
}

/// Whether the bytes hold one answer with all of its body.
static bool isWhole(const std::string &bytes)
{
    const std::string name = "Content-Length: ";
    const std::size_t length = bytes.find(name);
    const std::size_t end = bytes.find("\r\n\r\n");
    return length < end && end != std::string::npos
        && bytes.size() >= end + 4 + static_cast<std::size_t>(std::atoll(bytes.c_str() + length + name.size()));
}

std::string raw_connection::readAnswer(Core::duration quiet)
{
    std::string received;
    while (!isWhole(received) && receive(received, quiet)) { }
    return received;
}

bool raw_connection::closed() const
{
    return m_closed;
}

int statusOf(const std::string &bytes)
{
    constexpr std::size_t statusStart = 9; // After "HTTP/1.1 ".
    return bytes.size() < statusStart ? 0 : std::atoi(bytes.c_str() + statusStart);
}

boost::json::object bodyOf(const std::string &bytes)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
        return {};
    }
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(std::string_view(bytes).substr(end + 4), error);
    return !error && value.is_object() ? value.get_object() : boost::json::object();
}
} // namespace StandIns
