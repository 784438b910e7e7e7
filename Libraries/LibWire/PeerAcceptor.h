#pragma once

#include "LibWire/Peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <cstdint>

namespace Wire
{
struct peer_network_options;

/// Accepts connections from peers. TCP keepalive closes connections whose other end no longer responds.
class peer_acceptor final : private kj::TaskSet::ErrorHandler
{
public:
    /// Throws kj::Exception if the address cannot be bound.
    peer_acceptor(kj::AsyncIoProvider &provider, kj::WaitScope &waitScope, Schema::Peer::Client bootstrap,
                  const peer_network_options &options);
    ~peer_acceptor();
    KJ_DISALLOW_COPY(peer_acceptor);

    std::uint16_t port();

private:
    kj::Promise<void> acceptLoop();
    void taskFailed(kj::Exception &&exception) override;

    capnp::TwoPartyServer m_server;
    kj::Timer &m_timer;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    kj::TaskSet m_tasks;
};
} // namespace Wire
