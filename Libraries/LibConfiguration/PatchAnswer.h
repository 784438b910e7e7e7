#pragma once

#include "LibConfiguration/PatchResult.h"
#include "LibCore/Finding.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Configuration
{
/// The end of a patch transaction.
struct patch_answer {
    patch_result result = patch_result::NotWritten;
    std::uint64_t number = 0; ///< See patch_result; 0 if no document could be read.
    std::vector<Core::finding> findings; ///< Only if invalid.
    std::string text; ///< The new document, if this transaction wrote it.
};
} // namespace Configuration
