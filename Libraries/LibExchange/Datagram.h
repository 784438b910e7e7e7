#pragma once

#include "LibExchange/DatagramKind.h"
#include "LibMembership/GossipMessage.h"

namespace Exchange
{
/// A decoded gossip datagram.
struct datagram {
    datagram_kind kind = datagram_kind::Round;
    Membership::gossip_message message;
};
} // namespace Exchange
