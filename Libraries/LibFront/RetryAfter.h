#pragma once

#include "LibCore/RandomEngine.h"

#include <string>

namespace Front
{
/// Returns a randomized value in seconds for Retry-After, so that rejected callers do not all retry at the same time.
[[nodiscard]] std::string retryAfterText(Core::random_engine &random);
} // namespace Front
