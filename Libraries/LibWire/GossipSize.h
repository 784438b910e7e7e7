#pragma once

#include <cstddef>

namespace Membership
{
struct gossip_message;
}

namespace Wire
{
/// Returns the bytes that a message takes on the wire, with the call's or return's envelope and the packet headers.
[[nodiscard]] std::size_t gossipSize(const Membership::gossip_message &message);
} // namespace Wire
