#pragma once

#include "LibWire/Peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/refcount.h>

#include <string>

namespace Wire
{
struct peer_network_options;

/// One connection to a peer. While calls run on it, pings check that the peer responds. Once the connection is marked
/// as broken, its calls fail and no further call is started on it.
class peer_link : public kj::Refcounted
{
public:
    peer_link(kj::AsyncIoProvider &provider, const std::string &address, const peer_network_options &options);

    /// Resolves when the connection is established; fails if it cannot be established in time.
    kj::Promise<void> connected();
    Schema::Peer::Client &peer();
    /// Wraps a call so that it fails as disconnected when the connection is marked as broken. Pings the peer while the
    /// call runs.
    template<typename Value> kj::Promise<Value> watch(kj::Promise<Value> call)
    {
        startPings();
        ++m_runningCalls;
        return call
            .exclusiveJoin(m_broken.addBranch().then(
                []() -> kj::Promise<Value> { return KJ_EXCEPTION(DISCONNECTED, "the connection was condemned"); }))
            .attach(kj::defer([this] { --m_runningCalls; }))
            .attach(kj::addRef(*this));
    }
    void markBroken();
    bool isBroken() const
    {
        return m_isBroken;
    }

private:
    kj::Promise<void> connect(const std::string &address);
    void startPings();
    kj::Promise<void> pingLoop();

    kj::AsyncIoProvider &m_provider;
    const peer_network_options &m_options;
    kj::Own<kj::AsyncIoStream> m_stream;
    kj::Own<capnp::TwoPartyClient> m_client;
    kj::Maybe<Schema::Peer::Client> m_peer;
    kj::Own<kj::PromiseFulfiller<void>> m_brokenFulfiller;
    kj::ForkedPromise<void> m_broken;
    bool m_isBroken = false;
    bool m_isPinging = false;
    int m_runningCalls = 0;
    kj::ForkedPromise<void> m_connected;
    kj::Promise<void> m_pingTask;
    kj::Promise<void> m_disconnect;
};
} // namespace Wire
