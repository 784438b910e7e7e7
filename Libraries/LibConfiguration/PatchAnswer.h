#pragma once

#include "LibConfiguration/PatchResult.h"
#include "LibCore/Finding.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Configuration
{
/// The final result of a patch transaction.
struct patch_answer {
    patch_result result = patch_result::NotWritten;
    std::uint64_t number = 0; ///< Meaning depends on `result`; 0 if no document could be read.
    std::vector<Core::finding> findings; ///< Empty unless the patch or a document is invalid.
    std::string text; ///< The new document as JSON, if this transaction wrote it.
};
} // namespace Configuration
