#include "LibConfiguration/ValidateService.h"

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibConfiguration/Formats.h"
#include "LibConfiguration/Pointer.h"

#include <algorithm>
#include <set>

namespace Configuration
{
using findings_list = std::vector<Core::finding>;

static void checkNames(const std::string &path, const auto &values, findings_list &findings)
{
    for (const auto &[name, value] : values) {
        if (!isName(name)) {
            findings.push_back(
                {pointerTo(path, name), "must have 1 to 128 letters, digits, dots, hyphens and underscores"});
        }
    }
}

static void validateRoutes(const service_settings &service, const std::string &path, findings_list &findings)
{
    checkNames(path, service.routes, findings);
    for (const auto &[name, route] : service.routes) {
        if (!route.idempotent && route.fanOut == fan_out::AllShards) {
            findings.push_back(
                {pointerTo(path, name) + "/fan_out", "must be \"one\" on a route that is not idempotent"});
        }
    }
}

static void validateSnapshots(const service_settings &service, const std::string &path, findings_list &findings)
{
    const std::string snapshots = path + "/snapshots";
    checkNames(snapshots, service.snapshots, findings);
    for (const auto &[name, snapshot] : service.snapshots) {
        const std::string shards = pointerTo(snapshots, name) + "/shards";
        checkNames(shards, snapshot.shardWeights, findings);
        if (snapshot.shardWeights.empty()) {
            findings.push_back({shards, "must have at least one shard"});
        }
    }
    if (!service.snapshots.contains(service.currentSnapshot)) {
        findings.push_back({path + "/current_snapshot", "snapshot \"" + service.currentSnapshot + "\" does not exist"});
    }
}

static bool isInAnySnapshot(const service_settings &service, const std::string &shard)
{
    return std::any_of(service.snapshots.begin(), service.snapshots.end(),
                       [&](const auto &snapshot) { return snapshot.second.shardWeights.contains(shard); });
}

static void validateReplicas(const configuration_document &document, const service_settings &service,
                             const std::string &path, findings_list &findings)
{
    checkNames(path, service.replicas, findings);
    for (const auto &[name, replica] : service.replicas) {
        const std::string replicaPath = pointerTo(path, name);
        if (!isAddress(replica.address)) {
            findings.push_back({replicaPath + "/address", "must be an IP address and a port, as in 127.0.0.1:9000"});
        }
        if (!document.dataCentres.contains(replica.dataCentre)) {
            findings.push_back(
                {replicaPath + "/data_centre", "data centre \"" + replica.dataCentre + "\" does not exist"});
        }
        if (!isName(replica.version)) {
            findings.push_back(
                {replicaPath + "/version", "must have 1 to 128 letters, digits, dots, hyphens and underscores"});
        }
        if (!isInAnySnapshot(service, replica.shard)) {
            findings.push_back({replicaPath + "/shard", "shard \"" + replica.shard + "\" is in no snapshot"});
        }
    }
}

static void validateShardCoverage(const service_settings &service, const std::string &path, findings_list &findings)
{
    const auto current = service.snapshots.find(service.currentSnapshot);
    if (current == service.snapshots.end()) {
        return;
    }
    std::set<std::string> servedShards;
    for (const auto &[name, replica] : service.replicas) {
        servedShards.insert(replica.shard);
    }
    const std::string shards = pointerTo(path + "/snapshots", service.currentSnapshot) + "/shards";
    for (const auto &[shard, weight] : current->second.shardWeights) {
        if (!servedShards.contains(shard)) {
            findings.push_back({pointerTo(shards, shard), "is in the current snapshot but has no replica"});
        }
    }
}

static void checkVersion(const service_settings &service, const std::string &path, const std::string &version,
                         findings_list &findings)
{
    const bool used = std::any_of(service.replicas.begin(), service.replicas.end(),
                                  [&](const auto &replica) { return replica.second.version == version; });
    if (!used && !service.replicas.empty()) {
        findings.push_back({path, "no replica has version \"" + version + "\""});
    }
}

static void validateRollout(const service_settings &service, const rollout_settings &rollout, const std::string &path,
                            findings_list &findings)
{
    if (rollout.number == 0) {
        findings.push_back({path + "/number", "must be at least 1"});
    }
    if (rollout.fromVersion == rollout.toVersion) {
        findings.push_back({path + "/to_version", "must differ from from_version"});
    }
    if (rollout.start >= rollout.deadline) {
        findings.push_back({path + "/deadline", "must be later than start"});
    }
    if (service.version != rollout.fromVersion && service.version != rollout.toVersion) {
        findings.push_back({path, "must be from or to the service's version \"" + service.version + "\""});
    }
    if (rollout.takenBack && service.version == rollout.toVersion) {
        findings.push_back({path + "/taken_back", "must be false once the service's version is to_version"});
    }
    const bool running = !rollout.takenBack && service.version == rollout.fromVersion;
    if (running) {
        checkVersion(service, path + "/to_version", rollout.toVersion, findings);
    }
}

void validateService(const configuration_document &document, const service_settings &service, const std::string &path,
                     findings_list &findings)
{
    validateRoutes(service, path + "/routes", findings);
    validateSnapshots(service, path, findings);
    validateReplicas(document, service, path + "/replicas", findings);
    validateShardCoverage(service, path, findings);
    checkVersion(service, path + "/version", service.version, findings);
    if (service.rollout) {
        validateRollout(service, *service.rollout, path + "/rollout", findings);
    }
}
} // namespace Configuration
