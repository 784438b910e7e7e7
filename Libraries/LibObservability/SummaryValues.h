#pragma once

#include "LibCore/Time.h"

#include <cstdint>

namespace Observability
{
/// The values of a summary of durations. Quantiles are 0 if there are no recent values.
struct summary_values {
    std::uint64_t count = 0;
    Core::duration sum {};
    Core::duration median {};
    Core::duration quantile99 {};
};
} // namespace Observability
