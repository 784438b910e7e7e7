#include "LibForward/RouteTable.h"

#include "LibCore/Verify.h"
#include "LibForward/TrafficConfiguration.h"

#include <algorithm>
#include <random>

namespace Forward
{
static std::string toLowercase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](unsigned char letter) {
        return static_cast<char>(letter >= 'A' && letter <= 'Z' ? letter - 'A' + 'a' : letter);
    });
    return result;
}

/// A Host header may include the port.
static std::string_view stripPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

void indexRoutes(traffic_configuration &configuration)
{
    configuration.routesByHost.clear();
    for (std::size_t index = 0; index < configuration.routes.size(); ++index) {
        configuration.routesByHost[toLowercase(configuration.routes[index].host)].push_back(index);
    }
    for (auto &[host, indices] : configuration.routesByHost) {
        std::stable_sort(indices.begin(), indices.end(), [&](std::size_t left, std::size_t right) {
            return configuration.routes[left].pathPrefix.size() > configuration.routes[right].pathPrefix.size();
        });
    }
}

const route *findRoute(const traffic_configuration &configuration, std::string_view host, std::string_view path)
{
    const auto found = configuration.routesByHost.find(toLowercase(stripPort(host)));
    if (found == configuration.routesByHost.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        if (path.starts_with(configuration.routes[index].pathPrefix)) {
            return &configuration.routes[index];
        }
    }
    return nullptr;
}

const std::string &pickService(const route &route, Core::random_engine &random)
{
    VERIFY(!route.services.empty());
    double total = 0.0;
    for (const weighted_service &candidate : route.services) {
        total += candidate.weight;
    }
    double position = std::uniform_real_distribution<double>(0.0, total)(random);
    for (const weighted_service &candidate : route.services) {
        if (position < candidate.weight) {
            return candidate.service;
        }
        position -= candidate.weight;
    }
    return route.services.back().service;
}
} // namespace Forward
