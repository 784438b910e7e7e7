#pragma once

#include <vector>

namespace Capacity
{
/// A straight line by least squares.
struct linear_fit {
    double intercept = 0.0;
    double slope = 0.0;
    double determination = 1.0; ///< Part of the variance that the line explains (r squared).

    [[nodiscard]] double at(double size) const
    {
        return intercept + slope * size;
    }
};

/// Fits a line through at least two points.
[[nodiscard]] linear_fit fitLine(const std::vector<double> &sizes, const std::vector<double> &values);
} // namespace Capacity
