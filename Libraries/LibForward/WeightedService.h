#pragma once

#include <string>

namespace Forward
{
/// One service of a route and its weight.
struct weighted_service {
    std::string service;
    double weight = 1.0; ///< Relative to the sum of the route's weights.
};
} // namespace Forward
