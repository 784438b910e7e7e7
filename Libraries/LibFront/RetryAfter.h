#pragma once

#include "LibCore/Time.h"

#include <string>

namespace Front
{
/// Returns the value of Retry-After for the given delay, in seconds.
[[nodiscard]] std::string retryAfterText(Core::duration delay);
} // namespace Front
