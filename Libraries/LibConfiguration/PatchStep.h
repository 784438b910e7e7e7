#pragma once

#include "LibConfiguration/PatchAnswer.h"

#include <optional>
#include <string>

namespace Configuration
{
/// What a patch transaction wants done next: the end if there is an answer, else a write if there is a text, else a
/// read of the stored document.
struct patch_step {
    std::optional<patch_answer> answer;
    std::optional<std::string> text; ///< The document to write.
    std::string expectedTag; ///< The condition of the write; empty: the document must not exist.
};
} // namespace Configuration
