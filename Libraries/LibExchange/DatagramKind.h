#pragma once

namespace Exchange
{
/// Whether the sender of a datagram expects a reply. The value is the datagram's first byte.
enum class datagram_kind : char {
    Round = 'q', ///< Starts or continues a gossip exchange; the receiver replies.
    Reply = 'a', ///< Answered only if one of the two sides still lacks records.
};
} // namespace Exchange
