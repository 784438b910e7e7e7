#pragma once

#include "LibConfiguration/PatchRequest.h"

#include <cstdint>
#include <string>

namespace Configuration
{
/// The state of one patch transaction with the store. See PatchEvents.h.
struct patch_transaction {
    patch_request request;
    bool uncertain = false; ///< A write was sent, and it is unknown whether it took effect.
    int writes = 0; ///< Number of writes sent so far.
    std::string pendingText; ///< The document of the write in progress.
    std::uint64_t pendingNumber = 0;
};
} // namespace Configuration
