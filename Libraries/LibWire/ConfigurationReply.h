#pragma once

#include <cstdint>
#include <string>

namespace Wire
{
/// A configuration that a peer hands on.
struct configuration_reply {
    std::uint64_t number = 0; ///< 0: the peer has none above the number asked for.
    std::uint64_t baseNumber = 0; ///< 0: `text` is the whole document; else a merge patch against this number.
    std::string text;
    std::uint64_t checksum = 0; ///< Of the whole document's text, to check a patched one.
};
} // namespace Wire
