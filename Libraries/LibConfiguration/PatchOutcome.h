#pragma once

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibConfiguration/PatchVerdict.h"
#include "LibCore/Finding.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Configuration
{
/// The result of applying a patch to a document.
struct patch_outcome {
    patch_verdict verdict = patch_verdict::Invalid;
    std::uint64_t number = 0; ///< The number that the patch made, now or earlier, or the current one if it was refused.
    configuration_document document; ///< Only if applied.
    std::string text; ///< The new document as JSON; only if applied.
    std::vector<Core::finding> findings; ///< Only if invalid.
};
} // namespace Configuration
