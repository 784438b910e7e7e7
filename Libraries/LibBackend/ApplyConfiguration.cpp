#include "LibBackend/ReplicaEvents.h"
#include "LibBackend/ServiceState.h"
#include "LibBackend/SlowStart.h"
#include "LibConfiguration/ConfigurationDocument.h"

#include <algorithm>
#include <utility>

namespace Backend
{
using Configuration::configuration_document;
using Configuration::replica_settings;
using Configuration::service_settings;

static bool isDataCentreOut(const configuration_document &document, const std::string &dataCentre)
{
    const auto found = document.dataCentres.find(dataCentre);
    return found == document.dataCentres.end() || found->second.out;
}

/// A different address, shard, version or data centre under the same name means a different process: state recorded for
/// the previous one does not apply to it.
static bool isSameProcess(const replica_settings &left, const replica_settings &right)
{
    return left.address == right.address && left.shard == right.shard && left.version == right.version
        && left.dataCentre == right.dataCentre;
}

static std::vector<std::size_t> idleIndices(const service_state &service)
{
    std::vector<std::size_t> idle;
    for (std::size_t index = 0; index < service.replicas.size(); ++index) {
        const replica_state &replica = service.replicas[index];
        if (replica.removed && replica.inFlight == 0) {
            idle.push_back(index);
        }
    }
    return idle;
}

static std::size_t addReplica(service_state &service, const std::string &name, std::vector<std::size_t> &idle)
{
    replica_state added;
    added.name = name;
    added.slowStart.replica = name;
    if (idle.empty()) {
        service.replicas.push_back(std::move(added));
        return service.replicas.size() - 1;
    }
    const std::size_t index = idle.back();
    idle.pop_back();
    service.replicas[index] = std::move(added);
    return index;
}

static void updateReplica(replica_state &replica, const replica_settings &settings, bool out, std::uint64_t number,
                          Core::time_point now)
{
    const bool wasOut = replica.dataCentreOut || replica.settings.leaving;
    if (replica.settings != settings) {
        replica.reportedLeaving = false;
    }
    replica.settings = settings;
    replica.dataCentreOut = out;
    replica.removed = false;
    if (wasOut && !out && !settings.leaving) {
        restartSlowStart(replica, number, now);
    }
}

static Core::duration maximumDeadline(const service_settings &settings)
{
    Core::duration longest {};
    for (const auto &[name, route] : settings.routes) {
        longest = std::max<Core::duration>(longest, route.deadline);
    }
    return longest;
}

void applyConfiguration(service_state &service, const configuration_document &document,
                        const service_settings &settings, Core::time_point now)
{
    // The first configuration that a daemon receives does not show when its replicas were added. Peers' records do.
    const std::uint64_t startConfiguration = service.configuration == 0 ? 0 : document.number;
    service.configuration = std::max<std::uint64_t>(document.number, 1);
    service.slotsPerReplica = std::max(settings.slotsPerReplica, 1U);
    service.coldSlots = settings.coldSlots;
    service.currentSnapshot = settings.currentSnapshot;
    service.extraLoad.earnedPerRequest = document.tier.hedgeBudget;
    service.maximumRequestDuration = maximumDeadline(settings);
    std::vector<std::size_t> idle = idleIndices(service);
    for (replica_state &replica : service.replicas) {
        replica.removed = true;
    }
    service.byShard.clear();
    auto previous = std::move(service.byName);
    service.byName.clear();
    for (const auto &[name, replicaSettings] : settings.replicas) {
        const auto existing = previous.find(name);
        const bool kept =
            existing != previous.end() && isSameProcess(service.replicas[existing->second].settings, replicaSettings);
        const std::size_t index = kept ? existing->second : addReplica(service, name, idle);
        replica_state &replica = service.replicas[index];
        if (!kept) {
            restartSlowStart(replica, startConfiguration, now);
        }
        updateReplica(replica, replicaSettings, isDataCentreOut(document, replicaSettings.dataCentre), document.number,
                      now);
        service.byName[name] = index;
        service.byShard[replicaSettings.shard].push_back(index);
    }
}
} // namespace Backend
