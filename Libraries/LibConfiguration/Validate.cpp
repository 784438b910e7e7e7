#include "LibConfiguration/Validate.h"

#include "LibConfiguration/ConfigurationDocument.h"
#include "LibConfiguration/Formats.h"
#include "LibConfiguration/Limits.h"
#include "LibConfiguration/PatchId.h"
#include "LibConfiguration/Pointer.h"
#include "LibConfiguration/ValidateService.h"

#include <algorithm>
#include <string>
#include <unordered_map>

namespace Configuration
{
using findings_list = std::vector<Core::finding>;

static void checkName(const std::string &path, const std::string &name, findings_list &findings)
{
    if (!isName(name)) {
        findings.push_back({path, "must have 1 to 128 letters, digits, dots, hyphens and underscores"});
    }
}

static void validatePatchIds(const configuration_document &document, findings_list &findings)
{
    const std::vector<std::string> &ids = document.recentPatchIds;
    if (ids.size() > std::min<std::uint64_t>(maximumRecentPatchIds, document.number)) {
        findings.push_back({"/recent_patch_ids",
                            "must have at most one id for each number, and at most "
                                + std::to_string(maximumRecentPatchIds) + " in all"});
    }
    for (std::size_t index = 0; index < ids.size(); ++index) {
        if (!originalBaseNumber(ids[index])) {
            findings.push_back({"/recent_patch_ids/" + std::to_string(index), "is not a patch id"});
        }
    }
}

static void validateDataCentres(const configuration_document &document, findings_list &findings)
{
    for (const auto &[name, dataCentre] : document.dataCentres) {
        const std::string path = pointerTo("/data_centres", name);
        checkName(path, name, findings);
        if (!dataCentre.region.empty()) {
            checkName(path + "/region", dataCentre.region, findings);
        }
    }
}

template<typename Values>
static void checkReferences(const std::string &path, const char *kind, const std::set<std::string> &names,
                            const Values &values, findings_list &findings)
{
    for (const std::string &name : names) {
        if (!values.contains(name)) {
            findings.push_back({path, std::string(kind) + " \"" + name + "\" does not exist"});
        }
    }
}

static void validateTeams(const configuration_document &document, findings_list &findings)
{
    double totalShare = 0.0;
    std::unordered_map<std::string, std::string> teamOfHash;
    for (const auto &[name, team] : document.teams) {
        const std::string path = pointerTo("/teams", name);
        checkName(path, name, findings);
        if (!isKeyHash(team.keyHash)) {
            findings.push_back({path + "/key_hash", "must be a SHA-256 hash in 64 lower-case hexadecimal digits"});
        } else if (const auto [other, added] = teamOfHash.emplace(team.keyHash, name); !added) {
            findings.push_back({path + "/key_hash", "is also the key of team \"" + other->second + "\""});
        }
        checkReferences(path + "/data_centres", "data centre", team.dataCentres, document.dataCentres, findings);
        checkReferences(path + "/services", "service", team.services, document.services, findings);
        totalShare += team.share;
    }
    constexpr double roundingTolerance = 1e-9;
    if (totalShare > 1.0 + roundingTolerance) {
        findings.push_back({"/teams", "the shares of all teams add up to more than 1"});
    }
}

/// Reports duplicate addresses. One backend server process serves one shard in one version, so addresses are unique.
static void validateAddresses(const configuration_document &document, findings_list &findings)
{
    std::unordered_map<std::string, std::string> pathOfAddress;
    for (const auto &[serviceName, service] : document.services) {
        for (const auto &[name, replica] : service.replicas) {
            const std::string path = pointerTo(pointerTo("/services", serviceName) + "/replicas", name);
            const auto [other, added] = pathOfAddress.emplace(replica.address, path);
            if (!added && !replica.address.empty()) {
                findings.push_back({path + "/address", "is also the address of " + other->second});
            }
        }
    }
}

static void validateOwners(const configuration_document &document, findings_list &findings)
{
    for (const auto &[name, service] : document.services) {
        if (document.tier.ownersPerReplica > service.connectionLimit) {
            findings.push_back({"/tier/owners_per_replica",
                                "is more than the connection limit " + std::to_string(service.connectionLimit)
                                    + " of service \"" + name + "\""});
        }
    }
}

void validateDocument(const configuration_document &document, findings_list &findings)
{
    validatePatchIds(document, findings);
    validateOwners(document, findings);
    validateDataCentres(document, findings);
    validateTeams(document, findings);
    for (const auto &[name, service] : document.services) {
        const std::string path = pointerTo("/services", name);
        checkName(path, name, findings);
        validateService(document, service, path, findings);
    }
    validateAddresses(document, findings);
}

/// Reports the removal or replacement of a rollout that has not ended. The last rollout, which the system retains, has
/// therefore always ended.
static void validateEndedRollout(const rollout_settings &current, const service_settings &next, const std::string &path,
                                 findings_list &findings)
{
    if (!current.takenBack && next.version != current.toVersion) {
        findings.push_back({path, "must stay until it is taken back or the service's version is its to_version"});
    }
}

static void validateNextRollout(const rollout_settings &current, const service_settings &next, const std::string &path,
                                findings_list &findings)
{
    const rollout_settings &rollout = *next.rollout;
    if (rollout.number < current.number) {
        findings.push_back({path + "/number", "must not be lower than " + std::to_string(current.number)});
    }
    if (rollout.number != current.number) {
        validateEndedRollout(current, next, path, findings);
        return;
    }
    if (rollout.fromVersion != current.fromVersion || rollout.toVersion != current.toVersion) {
        findings.push_back({path + "/number", "must be higher than before when the versions change"});
    }
    if (current.takenBack && !rollout.takenBack) {
        findings.push_back({path + "/taken_back", "must stay true; a new rollout needs a higher number"});
    }
}

static void validateNextService(const service_settings &current, const service_settings &next, const std::string &path,
                                findings_list &findings)
{
    if (current.rollout && next.rollout) {
        validateNextRollout(*current.rollout, next, path, findings);
    } else if (current.rollout) {
        validateEndedRollout(*current.rollout, next, path, findings);
    }
    const bool isNew = next.rollout && (!current.rollout || current.rollout->number != next.rollout->number);
    if (isNew && current.lastRollout && next.rollout->number <= current.lastRollout->number) {
        findings.push_back({path + "/number", "must be higher than " + std::to_string(current.lastRollout->number)});
    }
}

void validateSuccessor(const configuration_document &current, const configuration_document &next,
                       findings_list &findings)
{
    for (const auto &[name, service] : next.services) {
        const auto before = current.services.find(name);
        if (before != current.services.end()) {
            validateNextService(before->second, service, pointerTo("/services", name) + "/rollout", findings);
        }
    }
}
} // namespace Configuration
