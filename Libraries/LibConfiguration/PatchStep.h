#pragma once

#include "LibConfiguration/PatchAnswer.h"

#include <optional>
#include <string>

namespace Configuration
{
/// The next action of a patch transaction: finish if `answer` is set, else write if `text` is set, else read the stored
/// document.
struct patch_step {
    std::optional<patch_answer> answer;
    std::optional<std::string> text; ///< The document to write.
    std::string expectedTag; ///< Precondition of the write; empty if the document must not exist.
};
} // namespace Configuration
