#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"

namespace Forward
{
/// Returns a random delay after which a refused caller may retry, so that refused callers do not all return at once.
[[nodiscard]] Core::duration randomRetryAfter(Core::random_engine &random);
} // namespace Forward
