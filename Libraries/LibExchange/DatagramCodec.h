#pragma once

#include "LibExchange/Datagram.h"

#include <optional>
#include <string>
#include <string_view>

namespace Exchange
{
[[nodiscard]] std::string encodeDatagram(datagram_kind kind, const Membership::gossip_message &message);

/// Returns nothing for bytes that are no datagram of a daemon.
[[nodiscard]] std::optional<datagram> decodeDatagram(std::string_view bytes);
} // namespace Exchange
