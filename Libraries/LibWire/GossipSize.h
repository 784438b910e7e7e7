#pragma once

#include <cstddef>

namespace Membership
{
struct gossip_message;
}

namespace Wire
{
/// Returns the size of a message on the wire in bytes, including the envelope of the call or return, packet headers and
/// acknowledgements.
[[nodiscard]] std::size_t gossipSize(const Membership::gossip_message &message);
} // namespace Wire
