#include "LibConfiguration/Parse.h"

#include "LibConfiguration/JsonReader.h"
#include "LibConfiguration/Limits.h"
#include "LibConfiguration/Validate.h"

#include <boost/json/parse.hpp>

#include <limits>
#include <utility>

namespace Configuration
{
static constexpr std::chrono::milliseconds maximumTimeToLive {3'600'000};
static constexpr std::uint32_t maximumConnections = 100'000;

static void readPriority(json_reader &reader, priority_class &target)
{
    std::string name = "ordinary";
    reader.readString("priority", name);
    if (name == "alert") {
        target = priority_class::Alert;
    } else if (name == "lookup") {
        target = priority_class::Lookup;
    } else if (name == "ordinary") {
        target = priority_class::Ordinary;
    } else {
        reader.report("priority", "must be \"alert\", \"lookup\" or \"ordinary\"");
    }
}

static void readFanOut(json_reader &reader, fan_out &target)
{
    std::string name = "all";
    reader.readString("fan_out", name);
    if (name == "all") {
        target = fan_out::AllShards;
    } else if (name == "one") {
        target = fan_out::OneShard;
    } else {
        reader.report("fan_out", "must be \"all\" or \"one\"");
    }
}

static void readRoute(json_reader &reader, route_settings &route)
{
    reader.readBoolean("idempotent", route.idempotent);
    readFanOut(reader, route.fanOut);
    readPriority(reader, route.priority);
    reader.readMilliseconds("deadline_ms", route.deadline, std::chrono::milliseconds(1), maximumRouteDeadline);
    reader.readNumber("minimum_coverage", route.minimumCoverage, 0.0, 1.0);
}

static void readSnapshot(json_reader &reader, snapshot_settings &snapshot)
{
    reader.require("shards");
    reader.readEach("shards", [&](const std::string &name, json_reader &shard) {
        double weight = 1.0;
        shard.readNumber("weight", weight, std::numeric_limits<double>::min(), 1e12);
        snapshot.shardWeights[name] = weight;
    });
}

static void readReplica(json_reader &reader, replica_settings &replica)
{
    for (const char *name : {"shard", "address", "data_centre", "version"}) {
        reader.require(name);
    }
    reader.readString("shard", replica.shard);
    reader.readString("address", replica.address);
    reader.readString("data_centre", replica.dataCentre);
    reader.readString("version", replica.version);
    reader.readBoolean("leaving", replica.leaving);
}

static void readRollout(json_reader &reader, rollout_settings &rollout)
{
    for (const char *name : {"number", "from_version", "to_version", "start", "deadline"}) {
        reader.require(name);
    }
    reader.readUnsigned("number", rollout.number);
    reader.readString("from_version", rollout.fromVersion);
    reader.readString("to_version", rollout.toVersion);
    reader.readWallTime("start", rollout.start);
    reader.readWallTime("deadline", rollout.deadline);
    reader.readBoolean("taken_back", rollout.takenBack);
    reader.readUnsigned("change", rollout.change);
}

static void readService(json_reader &reader, service_settings &service)
{
    reader.readEach("routes",
                    [&](const std::string &name, json_reader &route) { readRoute(route, service.routes[name]); });
    reader.readEach("snapshots", [&](const std::string &name, json_reader &snapshot) {
        readSnapshot(snapshot, service.snapshots[name]);
    });
    reader.require("current_snapshot");
    reader.readString("current_snapshot", service.currentSnapshot);
    reader.readEach("replicas", [&](const std::string &name, json_reader &replica) {
        readReplica(replica, service.replicas[name]);
    });
    reader.readString("version", service.version);
    reader.readChild("rollout", [&](json_reader &rollout) { readRollout(rollout, service.rollout.emplace()); });
    reader.readChild("last_rollout",
                     [&](json_reader &rollout) { readRollout(rollout, service.lastRollout.emplace()); });
    reader.readCount("slots_per_replica", service.slotsPerReplica, 1, maximumConnections);
    reader.readCount("connection_limit", service.connectionLimit, 1, maximumConnections);
    reader.readCount("cold_slots", service.coldSlots, 1, maximumConnections);
    reader.readCount("batch_limit", service.batchLimit, 1, maximumConnections);
}

static void readTeam(json_reader &reader, team_settings &team)
{
    reader.require("key_hash");
    reader.readString("key_hash", team.keyHash);
    reader.readNumber("share", team.share, 0.0, 1.0);
    reader.readStringSet("data_centres", team.dataCentres);
    reader.readStringSet("services", team.services);
}

static void readTier(json_reader &reader, tier_settings &tier)
{
    reader.readCount("owners_per_replica", tier.ownersPerReplica, 0, maximumConnections);
    reader.readCount("shards_per_group", tier.shardsPerGroup, 1, maximumConnections);
    reader.readMilliseconds("entry_time_to_live_ms", tier.entryTimeToLive, std::chrono::milliseconds(100),
                            maximumTimeToLive);
    reader.readNumber("hedge_budget", tier.hedgeBudget, 0.0, 1.0);
    reader.readNumber("pool_capacity", tier.poolCapacity, 0.0, 1e12);
}

static void readDocument(json_reader &reader, configuration_document &document)
{
    reader.readUnsigned("number", document.number);
    reader.readStringList("recent_patch_ids", document.recentPatchIds);
    reader.readChild("tier", [&](json_reader &tier) { readTier(tier, document.tier); });
    reader.readEach("data_centres", [&](const std::string &name, json_reader &dataCentre) {
        dataCentre.require("region");
        dataCentre.readString("region", document.dataCentres[name].region);
        dataCentre.readBoolean("out", document.dataCentres[name].out);
        dataCentre.readUnsigned("change", document.dataCentres[name].change);
    });
    reader.readEach("teams", [&](const std::string &name, json_reader &team) { readTeam(team, document.teams[name]); });
    reader.readEach("services", [&](const std::string &name, json_reader &service) {
        readService(service, document.services[name]);
    });
}

parsed_document parseDocument(std::string_view text)
{
    parsed_document parsed;
    if (text.size() > maximumDocumentBytes) {
        parsed.findings.push_back({"",
                                   "has " + std::to_string(text.size()) + " bytes; at most "
                                       + std::to_string(maximumDocumentBytes) + " are allowed"});
        return parsed;
    }
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse({text.data(), text.size()}, error);
    if (error) {
        parsed.findings.push_back({"", "is not valid JSON: " + error.message()});
        return parsed;
    }
    json_reader reader(value, "", parsed.findings);
    readDocument(reader, parsed.document);
    reader.reportUnknownMembers();
    validateDocument(parsed.document, parsed.findings);
    return parsed;
}
} // namespace Configuration
