#pragma once

#include <cstdint>
#include <string>

namespace Configuration
{
/// A change requested by an operator: an RFC 7396 merge patch based on a numbered document.
struct patch_request {
    std::uint64_t baseNumber = 0; ///< Number that the patch is based on; rejected if it is not the current one.
    std::string patchId; ///< Unique, see originalBaseNumber(). Identifies a resent patch, even one with a newer base.
    std::string patch; ///< JSON text.
};
} // namespace Configuration
