#pragma once

#include <string>

namespace Rollout
{
/// A configuration patch that records how a rollout ended.
struct closing_patch {
    std::string patchId; ///< The same at every daemon for one document, so that duplicates are detected.
    std::string patch; ///< RFC 7396 merge patch.
};
} // namespace Rollout
