#include "HealthRequests.h"

#include "DaemonState.h"
#include "LibBackend/Health.h"
#include "LibBackend/ReplicaReport.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibPlatform/BackendCodec.h"
#include "LibPlatform/CallOutcome.h"
#include "LibPlatform/HttpCall.h"
#include "LibPlatform/HttpClient.h"
#include "ServiceShard.h"

#include <chrono>

static constexpr std::chrono::seconds runPeriod {1};

health_requests::health_requests(daemon_state &daemon, Platform::http_client &client)
    : m_daemon(daemon)
    , m_client(client)
{
}

void health_requests::run(Core::time_point now)
{
    if (now < m_nextRun) {
        return;
    }
    m_nextRun = now + runPeriod;
    const auto document = m_daemon.configuration.current();
    for (const auto &[name, settings] : document->services) {
        service_shard *service = m_daemon.services.find(name);
        if (service == nullptr) {
            continue;
        }
        std::unique_lock lock(service->mutex);
        const auto due = Backend::takeHealthRequests(service->state, now);
        lock.unlock();
        for (const Backend::health_request &request : due) {
            send(*service, request);
        }
    }
}

void health_requests::send(service_shard &service, const Backend::health_request &request)
{
    m_client.start(Platform::encodeHealthCall(request.address),
                   [&service, request](const Platform::call_outcome &outcome) {
                       if (const auto report = Platform::decodeHealth(outcome)) {
                           const std::scoped_lock lock(service.mutex);
                           Backend::recordHealth(service.state, request, *report, std::chrono::steady_clock::now());
                       }
                   });
}
