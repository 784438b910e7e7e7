#pragma once

#include "LibExchange/Datagram.h"

#include <optional>
#include <string>
#include <string_view>

namespace Exchange
{
[[nodiscard]] std::string encodeDatagram(datagram_kind kind, const Membership::gossip_message &message);

/// Returns nothing if the bytes are not a valid gossip datagram.
[[nodiscard]] std::optional<datagram> decodeDatagram(std::string_view bytes);
} // namespace Exchange
