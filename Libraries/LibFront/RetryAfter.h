#pragma once

#include "LibCore/RandomEngine.h"

#include <string>

namespace Front
{
/// Seconds after which a refused caller may come again, drawn so that refused callers do not return all at once.
[[nodiscard]] std::string retryAfterText(Core::random_engine &random);
} // namespace Front
