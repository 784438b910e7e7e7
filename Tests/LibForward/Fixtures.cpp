#include "Fixtures.h"

#include "LibForward/RouteTable.h"

namespace Fixtures
{
using namespace std::chrono_literals;

static Forward::route baseRoute()
{
    Forward::route route;
    route.name = "lookup";
    route.host = "search.example";
    route.pathPrefix = "/lookup/";
    route.attempts = 2;
    return route;
}

static std::shared_ptr<const Forward::traffic_configuration> configurationOf(Forward::route route)
{
    auto configuration = std::make_shared<Forward::traffic_configuration>();
    configuration->version = 1;
    configuration->routes.push_back(std::move(route));
    Forward::indexRoutes(*configuration);
    return configuration;
}

std::shared_ptr<const Forward::traffic_configuration> gatheringConfiguration(std::size_t shards, double minimumCoverage)
{
    Forward::route route = baseRoute();
    route.repeat = Forward::repeat_policy::Idempotent;
    route.targetLatency = 120ms;
    route.timeout = 1200ms;
    route.topRecords = 5;
    route.minimumCoverage = minimumCoverage;
    for (std::size_t index = 0; index < shards; ++index) {
        route.shards.push_back("s" + std::to_string(index));
    }
    return configurationOf(std::move(route));
}

std::shared_ptr<const Forward::traffic_configuration> singleConfiguration(Forward::repeat_policy repeat)
{
    Forward::route route = baseRoute();
    route.repeat = repeat;
    route.targetLatency = 400ms;
    route.timeout = 4000ms;
    route.services.push_back({"s0", 1.0});
    return configurationOf(std::move(route));
}

Forward::forward_context makeContext()
{
    Forward::forward_context context;
    context.book.ownDataCentre = "a";
    context.book.regionsByDataCentre = {{"a", "ra"}, {"b", "rb"}, {"c", "rc"}};
    context.book.repeatLimits = {.ratio = 0.2, .slack = 20.0, .window = 10s};
    context.random.seed(7);
    return context;
}

Forward::replica_entry replicaEntry(const std::string &id, const std::string &service, const std::string &dataCentre)
{
    Forward::replica_entry entry;
    entry.id = id;
    entry.service = service;
    entry.address = "127.0.0.1:1";
    entry.dataCentre = dataCentre;
    entry.version = "v1";
    entry.slots = 2;
    entry.startedAt = 1;
    return entry;
}
} // namespace Fixtures
