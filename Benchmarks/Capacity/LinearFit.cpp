#include "LinearFit.h"

#include "LibCore/Verify.h"

#include <numeric>

namespace Capacity
{
static double mean(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

linear_fit fitLine(const std::vector<double> &sizes, const std::vector<double> &values)
{
    VERIFY(sizes.size() == values.size() && sizes.size() >= 2);
    const double meanSize = mean(sizes);
    const double meanValue = mean(values);
    double covariance = 0.0;
    double sizeVariance = 0.0;
    double valueVariance = 0.0;
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        covariance += (sizes[index] - meanSize) * (values[index] - meanValue);
        sizeVariance += (sizes[index] - meanSize) * (sizes[index] - meanSize);
        valueVariance += (values[index] - meanValue) * (values[index] - meanValue);
    }
    linear_fit fit;
    fit.slope = covariance / sizeVariance;
    fit.intercept = meanValue - fit.slope * meanSize;
    fit.determination = valueVariance == 0.0 ? 1.0 : covariance * covariance / (sizeVariance * valueVariance);
    return fit;
}
} // namespace Capacity
