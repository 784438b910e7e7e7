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
    std::uint64_t number = 0; ///< Number that the patch produced now or earlier, or the current number if rejected.
    configuration_document document; ///< Set only if the patch was applied.
    std::string text; ///< The new document as JSON; set only if the patch was applied.
    std::vector<Core::finding> findings; ///< Set only if the verdict is Invalid.
};
} // namespace Configuration
