#pragma once

#include <string>
#include <vector>

namespace Capacity
{
/// One quantity measured at several sizes, and what its straight line gives at the target.
struct measurement {
    std::string role; ///< The role of docs/CAPACITY.md that it belongs to.
    std::string quantity;
    std::string unit;
    std::string sizeName; ///< What the sizes count.
    std::vector<double> sizes;
    std::vector<double> values;
    double targetSize = 0.0;
    double todaySize = 0.0;
};
} // namespace Capacity
