#pragma once

#include <cstdint>

namespace Membership
{
/// The frequently changing part of a member's record, encoded in eight bytes.
struct digest_entry {
    std::uint32_t id = 0; ///< Hash of the VM's name and incarnation.
    std::uint16_t heartbeat = 0; ///< Low bits of the heartbeat, compared as serial numbers.
    /// How many numbers the member's configuration is behind the message's `newestNumber`; 255 means 255 or more.
    std::uint8_t lag = 0;
    bool leaving = false;
    bool overloaded = false;
    bool operator==(const digest_entry &) const = default;
};
} // namespace Membership
