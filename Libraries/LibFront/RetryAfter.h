#pragma once

#include "LibCore/RandomEngine.h"

#include <string>

namespace Forward
{
enum class refusal_cause;
}

namespace Front
{
/// Returns a randomized value in seconds for Retry-After, so that rejected callers do not all retry at the same time.
[[nodiscard]] std::string retryAfterText(Forward::refusal_cause cause, Core::random_engine &random);
} // namespace Front
