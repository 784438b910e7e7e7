#pragma once

#include <string>

namespace Rollout
{
/// An ordinary patch that records how a rollout ended.
struct closing_patch {
    std::string patchId; ///< The same at every daemon for one document, so that a double is recognised.
    std::string patch; ///< RFC 7396 merge patch.
};
} // namespace Rollout
