#pragma once

#include "LibTeams/UsageSums.h"

#include <cstdint>
#include <map>

namespace Teams
{
/// The sums that one daemon sends to another in one exchange, by epoch.
using usage_message = std::map<std::uint32_t, usage_sums>;
} // namespace Teams
