#pragma once

#include "LibCore/RandomEngine.h"
#include "LibCore/Time.h"

namespace Forward
{
/// After how long a refused caller may come again, drawn so that refused callers do not return all at once.
[[nodiscard]] Core::duration drawRetryAfter(Core::random_engine &random);
} // namespace Forward
