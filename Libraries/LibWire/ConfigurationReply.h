#pragma once

#include <cstdint>
#include <string>

namespace Wire
{
/// A configuration that a peer propagates.
struct configuration_reply {
    std::uint64_t number = 0; ///< 0: the peer has none above the number asked for.
    std::uint64_t baseNumber = 0; ///< 0: `text` is the complete document; otherwise a merge patch against this number.
    std::string text;
    std::uint64_t checksum = 0; ///< Checksum of the complete document's text; verifies the result of a patch.
};
} // namespace Wire
