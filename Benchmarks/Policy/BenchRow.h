#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Bench
{
/// One line of the bench's table: a measured value beside its baseline, checked against a bound.
struct bench_row {
    std::string measure; ///< What was measured, with its unit.
    std::string scenario;
    std::optional<double> baseline; ///< The same measure for the baseline that the scenario names.
    double value = 0.0;
    std::string bound; ///< The bound in words; empty: shown only.
    bool passed = true;
    std::vector<std::uint64_t> seeds;
};

/// Makes a row whose value must not exceed `most`.
[[nodiscard]] bench_row atMost(std::string measure, std::string scenario, double value, double most,
                               std::vector<std::uint64_t> seeds, std::optional<double> baseline = {});

/// Makes a row whose value must reach `least`.
[[nodiscard]] bench_row atLeast(std::string measure, std::string scenario, double value, double least,
                                std::vector<std::uint64_t> seeds, std::optional<double> baseline = {});
} // namespace Bench
