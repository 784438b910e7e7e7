#pragma once

#include "LibMembership/GossipMessage.h"
#include "LibWire/Peer.capnp.h"

#include <cstddef>

namespace Wire
{
void encodeGossip(const Membership::gossip_message &message, Schema::GossipMessage::Builder builder);
/// Decodes a peer's message. Throws kj::Exception, which fails the call, if a list has more items than any daemon
/// sends.
[[nodiscard]] Membership::gossip_message decodeGossip(Schema::GossipMessage::Reader reader);
} // namespace Wire
