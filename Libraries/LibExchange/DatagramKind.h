#pragma once

namespace Exchange
{
/// Whether a datagram wants an answer.
enum class datagram_kind : char {
    Round = 'q', ///< Starts or continues an exchange.
    Reply = 'a',
};
} // namespace Exchange
