#pragma once

#include <string>

namespace Front
{
struct front_environment;

/// Returns all counters and latency histograms in the Prometheus text format.
[[nodiscard]] std::string metricsText(const front_environment &environment);
} // namespace Front
