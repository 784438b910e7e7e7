#pragma once

#include <cstdint>
#include <string>

namespace Configuration
{
/// An operator's change: an RFC 7396 merge patch against a numbered document.
struct patch_request {
    std::uint64_t baseNumber = 0; ///< The number that the operator saw; any other current number refuses the patch.
    std::string patchId; ///< Unique, see firstNumberOf(); a repeat is recognised by it, also against a newer number.
    std::string patch; ///< JSON text.
};
} // namespace Configuration
