#pragma once

#include "LibMembership/GossipMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace Exchange
{
/// Whether a datagram wants an answer.
enum class datagram_kind : char {
    Round = 'q', ///< Starts or continues an exchange.
    Reply = 'a',
};

/// One datagram, decoded.
struct datagram {
    datagram_kind kind = datagram_kind::Round;
    Membership::gossip_message message;
};

[[nodiscard]] std::string encodeDatagram(datagram_kind kind, const Membership::gossip_message &message);

/// Returns nothing for bytes that are no datagram of a daemon.
[[nodiscard]] std::optional<datagram> decodeDatagram(std::string_view bytes);
} // namespace Exchange
