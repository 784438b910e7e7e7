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

std::shared_ptr<const Forward::traffic_configuration> scatterGatherConfiguration(std::size_t shards,
                                                                                 double minimumCoverage)
{
    Forward::route route = baseRoute();
    route.retryPolicy = Forward::retry_policy::Idempotent;
    route.targetLatency = 120ms;
    route.timeout = 1200ms;
    route.topRecords = 5;
    route.minimumCoverage = minimumCoverage;
    for (std::size_t index = 0; index < shards; ++index) {
        route.shards.push_back("s" + std::to_string(index));
    }
    return configurationOf(std::move(route));
}

std::shared_ptr<const Forward::traffic_configuration> singleServiceConfiguration(Forward::retry_policy retryPolicy)
{
    Forward::route route = baseRoute();
    route.retryPolicy = retryPolicy;
    route.targetLatency = 400ms;
    route.timeout = 4000ms;
    route.services.push_back({"s0", 1.0});
    return configurationOf(std::move(route));
}

Forward::forward_context makeContext()
{
    Forward::forward_context context;
    context.replicaTable.ownDataCentre = "a";
    context.replicaTable.regionsByDataCentre = {{"a", "ra"}, {"b", "rb"}, {"c", "rc"}};
    context.replicaTable.retryLimits = {.ratio = 0.2, .slack = 20.0, .window = 10s};
    context.random.seed(7);
    return context;
}

Forward::replica_registration replicaRegistration(const std::string &id, const std::string &service,
                                                  const std::string &dataCentre)
{
    Forward::replica_registration registration;
    registration.id = id;
    registration.service = service;
    registration.address = "127.0.0.1:1";
    registration.dataCentre = dataCentre;
    registration.version = "v1";
    registration.slots = 2;
    registration.startedAt = 1;
    return registration;
}

Membership::member_record memberRecord(std::size_t daemon, std::size_t dataCentres)
{
    Membership::member_record record;
    record.name = "vm-" + std::to_string(daemon);
    record.incarnation = 1;
    record.heartbeat = 1;
    record.callerAddress = record.name + ":80";
    record.peerAddress = record.name + ":81";
    record.dataCentre = "dc-" + std::to_string(daemon % dataCentres);
    return record;
}
} // namespace Fixtures
