#include "LibWire/PeerLink.h"

#include "LibWire/PeerNetworkOptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Wire
{
static kj::ForkedPromise<void> makeBrokenPromise(kj::Own<kj::PromiseFulfiller<void>> &fulfiller)
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    fulfiller = kj::mv(pair.fulfiller);
    return pair.promise.fork();
}

peer_link::peer_link(kj::AsyncIoProvider &provider, const std::string &address, const peer_network_options &options)
    : m_provider(provider)
    , m_options(options)
    , m_broken(makeBrokenPromise(m_brokenFulfiller))
    , m_connected(connect(address).fork())
    , m_pingTask(kj::READY_NOW)
    , m_disconnect(kj::READY_NOW)
{
}

static kj::Duration toKj(std::chrono::milliseconds time)
{
    return time.count() * kj::MILLISECONDS;
}

kj::Promise<void> peer_link::connect(const std::string &address)
{
    auto connecting =
        m_provider.getNetwork().parseAddress(address.c_str()).then([](kj::Own<kj::NetworkAddress> parsed) {
            auto promise = parsed->connect();
            return promise.attach(kj::mv(parsed));
        });
    return m_provider.getTimer()
        .timeoutAfter(toKj(m_options.connectTimeout), kj::mv(connecting))
        .then(
            [this](kj::Own<kj::AsyncIoStream> stream) {
                const int enabled = 1;
                stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
                m_stream = kj::mv(stream);
                m_client = kj::heap<capnp::TwoPartyClient>(*m_stream);
                m_peer = m_client->bootstrap().castAs<Schema::Peer>();
                m_disconnect = m_client->onDisconnect().then([this] { markBroken(); }).eagerlyEvaluate(nullptr);
            },
            [this](kj::Exception &&failure) {
                markBroken();
                kj::throwFatalException(kj::mv(failure));
            });
}

kj::Promise<void> peer_link::connected()
{
    return m_connected.addBranch();
}

Schema::Peer::Client &peer_link::peer()
{
    return KJ_ASSERT_NONNULL(m_peer);
}

void peer_link::markBroken()
{
    m_isBroken = true;
    m_brokenFulfiller->fulfill();
}

void peer_link::startPings()
{
    if (m_isPinging || m_isBroken) {
        return;
    }
    m_isPinging = true;
    m_pingTask = pingLoop().eagerlyEvaluate(nullptr);
}

kj::Promise<void> peer_link::pingLoop()
{
    return m_provider.getTimer().afterDelay(toKj(m_options.pingInterval)).then([this]() -> kj::Promise<void> {
        if (m_runningCalls == 0) {
            m_isPinging = false;
            return kj::READY_NOW;
        }
        auto ping = peer().pingRequest().send().ignoreResult();
        return m_provider.getTimer()
            .timeoutAfter(toKj(m_options.pingTimeout), kj::mv(ping))
            .then([this] { return pingLoop(); }, [this](kj::Exception &&) { markBroken(); });
    });
}
} // namespace Wire
