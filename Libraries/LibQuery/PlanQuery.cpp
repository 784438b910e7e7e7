#include "LibQuery/PlanQuery.h"

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibCore/Try.h"
#include "LibQuery/QueryRequest.h"

#include <boost/container_hash/hash.hpp>

#include <algorithm>
#include <cstdint>

namespace Query
{
using Configuration::configuration_document;
using Configuration::service_settings;

static Core::result<const service_settings *> findService(const configuration_document &document,
                                                          const query_request &request)
{
    const auto service = document.services.find(request.service);
    if (service == document.services.end()) {
        return Core::error {Core::error_code::NotFound, "service \"" + request.service + "\" does not exist"};
    }
    const auto team = document.teams.find(request.team);
    if (team == document.teams.end()) {
        return Core::error {Core::error_code::Unauthorized, "team \"" + request.team + "\" does not exist"};
    }
    if (!team->second.services.empty() && !team->second.services.contains(request.service)) {
        return Core::error {Core::error_code::Unauthorized,
                            "team \"" + request.team + "\" may not use service \"" + request.service + "\""};
    }
    return &service->second;
}

static std::string shardForKey(const Configuration::snapshot_settings &snapshot, const std::string &key)
{
    std::size_t bestHash = 0;
    std::string best;
    for (const auto &[name, weight] : snapshot.shardWeights) {
        std::size_t hash = boost::hash<std::string>()(key);
        boost::hash_combine(hash, name);
        if (best.empty() || hash > bestHash) {
            bestHash = hash;
            best = name;
        }
    }
    return best;
}

static Core::result<void> addShards(query_plan &plan, const Configuration::route_settings &route,
                                    const Configuration::snapshot_settings &snapshot, const query_request &request)
{
    if (route.fanOut == Configuration::fan_out::AllShards) {
        for (const auto &[name, weight] : snapshot.shardWeights) {
            plan.shards.push_back({name, weight});
        }
        return Core::success();
    }
    if (request.shardKey.empty()) {
        return Core::error {Core::error_code::InvalidInput, "route \"" + request.route + "\" needs a \"key\""};
    }
    const std::string shard = shardForKey(snapshot, request.shardKey);
    plan.shards.push_back({shard, snapshot.shardWeights.at(shard)});
    return Core::success();
}

Core::result<query_plan> planQuery(const configuration_document &document, const query_request &request,
                                   const std::string &version, Core::time_point now)
{
    const service_settings *service = TRY(findService(document, request));
    const auto route = service->routes.find(request.route);
    if (route == service->routes.end()) {
        return Core::error {Core::error_code::NotFound,
                            "route \"" + request.route + "\" does not exist in service \"" + request.service + "\""};
    }
    const auto snapshot = service->snapshots.find(service->currentSnapshot);
    if (snapshot == service->snapshots.end()) {
        return Core::error {Core::error_code::NotFound, "service \"" + request.service + "\" has no snapshot"};
    }
    query_plan plan;
    plan.requestId = request.requestId;
    plan.service = request.service;
    plan.route = request.route;
    plan.team = request.team;
    plan.snapshot = snapshot->first;
    plan.version = version;
    plan.dataCentres = document.teams.at(request.team).dataCentres;
    plan.minimumCoverage = route->second.minimumCoverage;
    plan.priority = route->second.priority;
    plan.idempotent = route->second.idempotent;
    const Core::duration routeDeadline = route->second.deadline;
    const bool hasCallerDeadline = request.timeRemaining > Core::duration::zero();
    plan.deadline = now + (hasCallerDeadline ? std::min(request.timeRemaining, routeDeadline) : routeDeadline);
    TRY(addShards(plan, route->second, snapshot->second, request));
    return plan;
}
} // namespace Query
