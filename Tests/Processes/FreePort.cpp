#include "Processes/FreePort.h"

#include "LibCore/Verify.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <set>

namespace Processes
{
static std::uint16_t bindAnyPort()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    VERIFY(descriptor >= 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the socket interface asks for it.
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    VERIFY(::bind(descriptor, generic, length) == 0);
    VERIFY(::getsockname(descriptor, generic, &length) == 0);
    ::close(descriptor);
    return ntohs(address.sin_port);
}

std::uint16_t findFreePort()
{
    static std::set<std::uint16_t> handedOut;
    while (true) {
        const std::uint16_t port = bindAnyPort();
        if (handedOut.insert(port).second) {
            return port;
        }
    }
}
} // namespace Processes
