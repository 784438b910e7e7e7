#include "LibBackend/ReplicaEvents.h"

#include "LibBackend/AttemptFailure.h"
#include "LibBackend/ReplicaReport.h"
#include "LibBackend/ServiceState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibCore/Verify.h"

#include <algorithm>
#include <utility>

namespace Backend
{
static constexpr double latencyWeight = 0.1;
static constexpr std::chrono::milliseconds firstAvoidance {200};
static constexpr std::uint32_t mostDoublings = 5;

static bool isDataCentreOut(const Configuration::configuration_document &document, const std::string &dataCentre)
{
    const auto found = document.dataCentres.find(dataCentre);
    return found == document.dataCentres.end() || found->second.out;
}

static std::size_t findOrAdd(service_state &service, const std::string &name)
{
    for (std::size_t index = 0; index < service.replicas.size(); ++index) {
        if (service.replicas[index].name == name) {
            return index;
        }
    }
    replica_state added;
    added.name = name;
    service.replicas.push_back(std::move(added));
    return service.replicas.size() - 1;
}

void applyConfiguration(service_state &service, const Configuration::configuration_document &document,
                        const Configuration::service_settings &settings, Core::time_point)
{
    service.slotsPerReplica = settings.slotsPerReplica;
    service.byShard.clear();
    for (replica_state &replica : service.replicas) {
        replica.removed = true;
    }
    for (const auto &[name, replicaSettings] : settings.replicas) {
        const std::size_t index = findOrAdd(service, name);
        replica_state &replica = service.replicas[index];
        replica.settings = replicaSettings;
        replica.removed = false;
        replica.dataCentreOut = isDataCentreOut(document, replicaSettings.dataCentre);
        service.byShard[replicaSettings.shard].push_back(index);
    }
}

void recordSent(service_state &service, std::size_t replica, Core::time_point)
{
    ++service.replicas[replica].inFlight;
}

static replica_state &endRequest(service_state &service, std::size_t index)
{
    replica_state &replica = service.replicas[index];
    VERIFY(replica.inFlight > 0);
    --replica.inFlight;
    return replica;
}

void recordAnswer(service_state &service, std::size_t index, const replica_report &report, Core::duration latency,
                  Core::time_point now)
{
    replica_state &replica = endRequest(service, index);
    const double seconds = Core::toSeconds(latency);
    const bool first = replica.smoothedLatencySeconds == 0.0;
    replica.smoothedLatencySeconds =
        first ? seconds : replica.smoothedLatencySeconds * (1.0 - latencyWeight) + seconds * latencyWeight;
    replica.incarnation = report.incarnation;
    replica.reportedLeaving = report.leaving;
    replica.hint = load_hint {report.load, now};
    replica.consecutiveFailures = 0;
    replica.avoidUntil = {};
}

void recordFailure(service_state &service, std::size_t index, attempt_failure failure, Core::time_point now)
{
    replica_state &replica = endRequest(service, index);
    if (failure == attempt_failure::Silent) {
        return;
    }
    replica.avoidUntil = now + firstAvoidance * (1U << std::min(replica.consecutiveFailures, mostDoublings));
    ++replica.consecutiveFailures;
}

void recordCancelled(service_state &service, std::size_t index, Core::time_point)
{
    endRequest(service, index);
}
} // namespace Backend
