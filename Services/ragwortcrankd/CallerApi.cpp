#include "CallerApi.h"

#include "AnswerCodec.h"
#include "BearerKey.h"
#include "CallerRequest.h"
#include "DaemonState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibPlatform/HttpRequest.h"
#include "LibQuery/PlanQuery.h"
#include "LibRollout/ChooseVersion.h"
#include "LibTeams/Authenticate.h"
#include "OnceGate.h"
#include "QueryObservation.h"
#include "QueryTask.h"
#include "QueryWorker.h"

#include <random>
#include <utility>

caller_api::caller_api(daemon_state &daemon, std::vector<std::unique_ptr<query_worker>> &workers, std::uint64_t seed)
    : m_daemon(daemon)
    , m_workers(workers)
    , m_random(seed)
{
}

std::string caller_api::makeRequestId()
{
    const std::scoped_lock lock(m_randomMutex);
    return m_daemon.daemonSettings.virtualMachine + "." + std::to_string(m_random());
}

void caller_api::handleQuery(const Platform::http_request &request, Platform::http_responder responder)
{
    Core::result<Query::query_request> decoded = decodeCallerRequest(request);
    const std::string requestId = decoded ? decoded.value().requestId : std::string();
    const auto document = m_daemon.configuration.current();
    const std::optional<std::string> team = Teams::findTeam(*document, bearerKey(request));
    if (!team) {
        responder.respond(encodeRefusal(401, requestId, "the team key is missing or unknown"));
        return;
    }
    if (!decoded) {
        responder.respond(encodeRefusal(400, requestId, decoded.error().message));
        return;
    }
    decoded.value().team = *team;
    if (requestId.empty()) {
        decoded.value().requestId = makeRequestId();
    }
    startQuery(std::move(decoded.value()), std::move(responder));
}

static int statusOf(Core::error_code code)
{
    switch (code) {
    case Core::error_code::NotFound:
        return 404;
    case Core::error_code::Unauthorized:
        return 403;
    case Core::error_code::InvalidInput:
        return 400;
    default:
        return 503;
    }
}

void caller_api::startQuery(Query::query_request request, Platform::http_responder responder)
{
    const auto document = m_daemon.configuration.current();
    const auto service = document->services.find(request.service);
    const std::string version =
        service == document->services.end() ? "" : Rollout::chooseVersion(service->second, 0.0, request.requestId);
    Core::result<Query::query_plan> plan =
        Query::planQuery(*document, request, version, std::chrono::steady_clock::now());
    if (!plan) {
        responder.respond(encodeRefusal(statusOf(plan.error().code), request.requestId, plan.error().message));
        return;
    }
    if (plan.value().idempotent) {
        // Callers may choose the same id, so backend servers and branches see one that no other query has.
        plan.value().requestId = makeRequestId();
        submit(std::move(request), std::move(plan.value()), std::move(responder));
        return;
    }
    m_daemon.once->begin(request, std::move(responder),
                         [&](Platform::http_responder started) { submit(request, plan.value(), std::move(started)); });
}

void caller_api::submit(Query::query_request request, Query::query_plan plan, Platform::http_responder responder)
{
    // std::function needs a copyable target, so the responder is held by a shared pointer.
    const auto shared = std::make_shared<Platform::http_responder>(std::move(responder));
    query_observation observation = beginObservation(m_daemon, request);
    query_task task;
    task.request = std::move(request);
    task.plan = std::move(plan);
    task.done = [this, observation = std::move(observation), shared,
                 once = task.plan.idempotent ? nullptr : m_daemon.once,
                 callersId = task.request.requestId](Query::query_result result) {
        result.requestId = callersId;
        endObservation(m_daemon, observation, result);
        const Platform::http_response response = encodeResult(result);
        if (once != nullptr) {
            once->finish(callersId, response);
        }
        shared->respond(response);
    };
    m_workers[m_nextWorker++ % m_workers.size()]->submit(std::move(task));
}
