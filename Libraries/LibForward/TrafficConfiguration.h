#pragma once

#include "LibForward/CallerLimits.h"
#include "LibForward/Route.h"
#include "LibForward/ServicePolicy.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Forward
{
/// One version of the configuration. It never changes; each request keeps the one it started with.
struct traffic_configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::unordered_map<std::string, service_policy> services; ///< By name.
    caller_limits limits;
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost; ///< Indices, the longest prefix first.
};
} // namespace Forward
