#pragma once

#include <string>

namespace Front
{
struct front_environment;

/// All counters and latency histograms in Prometheus' text format.
[[nodiscard]] std::string metricsText(const front_environment &environment);
} // namespace Front
