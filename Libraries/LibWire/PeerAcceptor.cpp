#include "LibWire/PeerAcceptor.h"

#include "LibWire/PeerNetworkOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Wire
{
static constexpr int keepaliveIdleSeconds = 10;
static constexpr int keepaliveIntervalSeconds = 5;
static constexpr int keepaliveProbes = 3;

peer_acceptor::peer_acceptor(kj::AsyncIoProvider &provider, kj::WaitScope &waitScope, Schema::Peer::Client bootstrap,
                             const peer_network_options &options)
    : m_server(kj::mv(bootstrap))
    , m_timer(provider.getTimer())
    , m_tasks(*this)
{
    auto address = provider.getNetwork().parseAddress(options.listenAddress.c_str(), options.port).wait(waitScope);
    m_receiver = address->listen();
    m_tasks.add(acceptLoop());
}

peer_acceptor::~peer_acceptor() = default;

std::uint16_t peer_acceptor::port()
{
    return static_cast<std::uint16_t>(m_receiver->getPort());
}

static void setOption(kj::AsyncIoStream &stream, int level, int name, int value)
{
    stream.setsockopt(level, name, &value, sizeof(value));
}

kj::Promise<void> peer_acceptor::acceptLoop()
{
    return m_receiver->accept().then(
        [this](kj::Own<kj::AsyncIoStream> stream) {
            setOption(*stream, IPPROTO_TCP, TCP_NODELAY, 1);
            setOption(*stream, SOL_SOCKET, SO_KEEPALIVE, 1);
            setOption(*stream, IPPROTO_TCP, TCP_KEEPIDLE, keepaliveIdleSeconds);
            setOption(*stream, IPPROTO_TCP, TCP_KEEPINTVL, keepaliveIntervalSeconds);
            setOption(*stream, IPPROTO_TCP, TCP_KEEPCNT, keepaliveProbes);
            m_server.accept(kj::mv(stream));
            return acceptLoop();
        },
        [this](kj::Exception &&) {
            // File descriptors may be exhausted for a while; the delay keeps the loop from spinning.
            return m_timer.afterDelay(100 * kj::MILLISECONDS).then([this] { return acceptLoop(); });
        });
}

void peer_acceptor::taskFailed(kj::Exception &&)
{
}
} // namespace Wire
