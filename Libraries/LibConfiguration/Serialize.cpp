#include "LibConfiguration/Parse.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Configuration
{
namespace json = boost::json;

static const char *priorityName(priority_class priority)
{
    switch (priority) {
    case priority_class::Alert:
        return "alert";
    case priority_class::Lookup:
        return "lookup";
    case priority_class::Ordinary:
        return "ordinary";
    }
    return "ordinary";
}

static std::int64_t secondsOf(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

static json::array writeStrings(const auto &strings)
{
    json::array array;
    for (const std::string &string : strings) {
        array.emplace_back(string);
    }
    return array;
}

static json::object writeRoute(const route_settings &route)
{
    return {{"idempotent", route.idempotent},
            {"fan_out", route.fanOut == fan_out::AllShards ? "all" : "one"},
            {"priority", priorityName(route.priority)},
            {"deadline_ms", route.deadline.count()},
            {"minimum_coverage", route.minimumCoverage}};
}

static json::object writeSnapshot(const snapshot_settings &snapshot)
{
    json::object shards;
    for (const auto &[name, weight] : snapshot.shardWeights) {
        shards[name] = json::object {{"weight", weight}};
    }
    return {{"shards", std::move(shards)}};
}

static json::object writeReplica(const replica_settings &replica)
{
    json::object object {{"shard", replica.shard},
                         {"address", replica.address},
                         {"data_centre", replica.dataCentre},
                         {"version", replica.version}};
    if (replica.leaving) {
        object["leaving"] = true; // Omitted if false, to keep a document of the target size below one megabyte.
    }
    return object;
}

static json::object writeRollout(const rollout_settings &rollout)
{
    return {{"number", rollout.number},
            {"from_version", rollout.fromVersion},
            {"to_version", rollout.toVersion},
            {"start", secondsOf(rollout.start)},
            {"deadline", secondsOf(rollout.deadline)},
            {"taken_back", rollout.takenBack},
            {"change", rollout.change}};
}

static json::object writeService(const service_settings &service)
{
    json::object routes;
    for (const auto &[name, route] : service.routes) {
        routes[name] = writeRoute(route);
    }
    json::object snapshots;
    for (const auto &[name, snapshot] : service.snapshots) {
        snapshots[name] = writeSnapshot(snapshot);
    }
    json::object replicas;
    for (const auto &[name, replica] : service.replicas) {
        replicas[name] = writeReplica(replica);
    }
    json::object object {{"routes", std::move(routes)},
                         {"snapshots", std::move(snapshots)},
                         {"current_snapshot", service.currentSnapshot},
                         {"replicas", std::move(replicas)},
                         {"version", service.version},
                         {"slots_per_replica", service.slotsPerReplica},
                         {"connection_limit", service.connectionLimit},
                         {"cold_slots", service.coldSlots},
                         {"batch_limit", service.batchLimit}};
    if (service.rollout) {
        object["rollout"] = writeRollout(*service.rollout);
    }
    if (service.lastRollout) {
        object["last_rollout"] = writeRollout(*service.lastRollout);
    }
    return object;
}

static json::object writeTier(const tier_settings &tier)
{
    return {{"owners_per_replica", tier.ownersPerReplica},
            {"shards_per_group", tier.shardsPerGroup},
            {"entry_time_to_live_ms", tier.entryTimeToLive.count()},
            {"hedge_budget", tier.hedgeBudget},
            {"pool_capacity", tier.poolCapacity}};
}

std::string serializeDocument(const configuration_document &document)
{
    json::object dataCentres;
    for (const auto &[name, dataCentre] : document.dataCentres) {
        dataCentres[name] =
            json::object {{"region", dataCentre.region}, {"out", dataCentre.out}, {"change", dataCentre.change}};
    }
    json::object teams;
    for (const auto &[name, team] : document.teams) {
        teams[name] = json::object {{"key_hash", team.keyHash},
                                    {"share", team.share},
                                    {"data_centres", writeStrings(team.dataCentres)},
                                    {"services", writeStrings(team.services)}};
    }
    json::object services;
    for (const auto &[name, service] : document.services) {
        services[name] = writeService(service);
    }
    return json::serialize(json::object {{"number", document.number},
                                         {"recent_patch_ids", writeStrings(document.recentPatchIds)},
                                         {"tier", writeTier(document.tier)},
                                         {"data_centres", std::move(dataCentres)},
                                         {"teams", std::move(teams)},
                                         {"services", std::move(services)}});
}
} // namespace Configuration
