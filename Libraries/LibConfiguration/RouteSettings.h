#pragma once

#include "LibConfiguration/FanOut.h"
#include "LibConfiguration/PriorityClass.h"

#include <chrono>

namespace Configuration
{
/// One route of a service. Non-idempotent routes must use fan_out::OneShard.
struct route_settings {
    bool idempotent = true;
    fan_out fanOut = fan_out::AllShards;
    priority_class priority = priority_class::Ordinary;
    std::chrono::milliseconds deadline {1000}; ///< Maximum duration of a query; callers may request a shorter one.
    double minimumCoverage = 0.0; ///< 0 to 1; below it the response is still sent, marked as partial.
    bool operator==(const route_settings &) const = default;
};
} // namespace Configuration
