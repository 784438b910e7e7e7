#pragma once

#include "LibCore/RandomEngine.h"

#include <string>
#include <string_view>

namespace Forward
{
struct route;
struct traffic_configuration;

/// Fills `routesByHost`. Must be called after the last route has been added.
void indexRoutes(traffic_configuration &configuration);

/// Returns the host's route with the longest prefix of the path, or null.
[[nodiscard]] const route *findRoute(const traffic_configuration &configuration, std::string_view host,
                                     std::string_view path);

/// Randomly picks a service of a route by weight. The route must not be a scatter-gather route.
[[nodiscard]] const std::string &pickService(const route &route, Core::random_engine &random);
} // namespace Forward
