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
/// One version of the configuration. It is immutable; each request keeps the version it started with.
struct traffic_configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::unordered_map<std::string, service_policy> services; ///< By name.
    caller_limits limits;
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost; ///< Indices, longest prefix first.
};
} // namespace Forward
