#pragma once

#include "LibCore/RandomEngine.h"

#include <string>
#include <string_view>

namespace Forward
{
struct route;
struct traffic_configuration;

/// Fills routesByHost; to be called once all routes are in.
void indexRoutes(traffic_configuration &configuration);

/// Returns the host's route with the longest prefix that begins the path, or nothing.
[[nodiscard]] const route *findRoute(const traffic_configuration &configuration, std::string_view host,
                                     std::string_view path);

/// Draws one service of a route by weight. The route must not gather.
[[nodiscard]] const std::string &drawService(const route &route, Core::random_engine &random);
} // namespace Forward
