#pragma once

#include "LibConfiguration/PatchOutcome.h"

#include <string_view>

namespace Configuration
{
struct patch_request;

/// Applies a patch to the current document's text (empty: no document yet).
[[nodiscard]] patch_outcome applyPatch(std::string_view currentText, const patch_request &request);
} // namespace Configuration
