#pragma once

#include "LibConfiguration/PatchRequest.h"

#include <cstdint>
#include <string>

namespace Configuration
{
/// The state of one patch on its way into the store. See PatchEvents.h.
struct patch_transaction {
    patch_request request;
    bool uncertain = false; ///< A write was sent whose effect is not known.
    int writes = 0; ///< Writes sent so far.
    std::string pendingText; ///< The document of the write that is under way.
    std::uint64_t pendingNumber = 0;
};
} // namespace Configuration
