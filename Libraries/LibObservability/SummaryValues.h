#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace Observability
{
/// What a summary of durations tells. Quantiles are 0 without recent values.
struct summary_values {
    std::uint64_t count = 0;
    Core::duration sum {};
    Core::duration median {};
    Core::duration quantile99 {};
};
} // namespace Observability
