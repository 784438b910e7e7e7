#pragma once

#include <cstdint>

namespace Observability
{
/// What a summary tells, in seconds. Quantiles are 0 without recent values.
struct summary_values {
    std::uint64_t count = 0;
    double sumSeconds = 0.0;
    double medianSeconds = 0.0;
    double quantile99Seconds = 0.0;
};
} // namespace Observability
