#pragma once

#include "LibConfiguration/FanOut.h"
#include "LibConfiguration/PriorityClass.h"

#include <chrono>

namespace Configuration
{
/// One route of a service. Routes that are not idempotent must use fan_out::OneShard.
struct route_settings {
    bool idempotent = true;
    fan_out fanOut = fan_out::AllShards;
    priority_class priority = priority_class::Ordinary;
    std::chrono::milliseconds deadline {1000}; ///< The longest time that a query may take; callers may ask for less.
    double minimumCoverage = 0.0; ///< 0 to 1; below it the answer is still given, as partial.
    bool operator==(const route_settings &) const = default;
};
} // namespace Configuration
