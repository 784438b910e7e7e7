#include "LibConfiguration/Validate.h"

#include "LibConfiguration/ConfigurationDocument.h"

#include <string>

namespace Configuration
{
static void validateReplicas(const configuration_document &document, const service_settings &service,
                             const std::string &path, std::vector<Core::finding> &findings)
{
    for (const auto &[name, replica] : service.replicas) {
        if (!document.dataCentres.contains(replica.dataCentre)) {
            findings.push_back({path + "/replicas/" + name + "/data_centre",
                                "data centre \"" + replica.dataCentre + "\" does not exist"});
        }
    }
}

static void validateService(const configuration_document &document, const service_settings &service,
                            const std::string &path, std::vector<Core::finding> &findings)
{
    if (!service.snapshots.contains(service.currentSnapshot)) {
        findings.push_back({path + "/current_snapshot", "snapshot \"" + service.currentSnapshot + "\" does not exist"});
    }
    for (const auto &[name, route] : service.routes) {
        if (!route.idempotent && route.fanOut == fan_out::AllShards) {
            findings.push_back(
                {path + "/routes/" + name + "/fan_out", "must be \"one\" on a route that is not idempotent"});
        }
    }
    validateReplicas(document, service, path, findings);
}

void validateDocument(const configuration_document &document, std::vector<Core::finding> &findings)
{
    double shares = 0.0;
    for (const auto &[name, team] : document.teams) {
        shares += team.share;
    }
    constexpr double roundingTolerance = 1e-9;
    if (shares > 1.0 + roundingTolerance) {
        findings.push_back({"/teams", "the shares of all teams add up to more than 1"});
    }
    for (const auto &[name, service] : document.services) {
        validateService(document, service, "/services/" + name, findings);
    }
}
} // namespace Configuration
