#pragma once

#include "LibConfiguration/PatchOutcome.h"

#include <string_view>

namespace Configuration
{
struct patch_request;

/// Applies a patch to the JSON text of the current document. An empty text means that no document exists yet.
[[nodiscard]] patch_outcome applyPatch(std::string_view currentText, const patch_request &request);
} // namespace Configuration
