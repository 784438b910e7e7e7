#pragma once

#include <cstddef>

namespace Simulation
{
/// The results of a simulation run.
struct totals {
    std::size_t requests = 0;
    std::size_t onTime = 0; ///< Answered within the target latency.
    std::size_t late = 0;
    std::size_t refused = 0; ///< Refused as not run, also on the caller's retry if there was one.
    std::size_t failed = 0;
    std::size_t attempts = 0;
    /// Sum of the squared coverage of on-time responses. Late responses count a tenth, and on-time responses to a
    /// caller's retry count the mean of both.
    double score = 0.0;

    [[nodiscard]] double meanScore() const
    {
        return score / static_cast<double>(requests);
    }
};
} // namespace Simulation
