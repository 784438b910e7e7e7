#pragma once

#include <cstddef>

namespace Simulation
{
/// What a run of the simulation saw.
struct totals {
    std::size_t requests = 0;
    std::size_t inTime = 0; ///< Answered within the target latency.
    std::size_t late = 0;
    std::size_t refused = 0; ///< Refused as not run, also when they came again.
    std::size_t failed = 0;
    std::size_t attempts = 0;
    /// Sum of the squares of the coverage of answers in time, a tenth of that for late ones, and the mean of the two
    /// for those in time after they were refused once.
    double worth = 0.0;

    [[nodiscard]] double meanWorth() const
    {
        return worth / static_cast<double>(requests);
    }
};
} // namespace Simulation
