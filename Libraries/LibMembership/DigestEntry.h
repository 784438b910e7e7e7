#pragma once

#include <cstdint>

namespace Membership
{
/// The part of a member's record that changes often, in eight bytes.
struct digest_entry {
    std::uint32_t id = 0; ///< Hash of the VM's name and incarnation.
    std::uint16_t heartbeat = 0; ///< Low bits of the heartbeat, compared as serial numbers.
    std::uint8_t lag =
        0; ///< Numbers that the member's configuration is behind the message's newest; 255: that many or more.
    bool leaving = false;
    bool operator==(const digest_entry &) const = default;
};
} // namespace Membership
