#pragma once

#include <string>

namespace Platform
{
/// An object of the platform's store with the tag of its version.
struct stored_object {
    std::string tag; ///< The ETag; an update may be made conditional on it.
    std::string body;
};
} // namespace Platform
