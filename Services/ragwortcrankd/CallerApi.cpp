#include "CallerApi.h"

#include "AnswerCodec.h"
#include "AtMostOnceGate.h"
#include "BearerKey.h"
#include "CallerRequest.h"
#include "DaemonState.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibPlatform/HttpRequest.h"
#include "LibQuery/PlanQuery.h"
#include "LibQuery/RequestIdentityText.h"
#include "LibTeams/Authenticate.h"
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

static int toHttpStatus(Core::error_code code)
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

/// Returns the admission data of a planned query.
static admitted_query describe(const Configuration::configuration_document &document, const Query::query_plan &plan,
                               Core::time_point now)
{
    admitted_query query;
    query.team = plan.team;
    query.service = plan.service;
    query.route = plan.route;
    query.priority = document.services.at(plan.service).routes.at(plan.route).priority;
    query.cost = static_cast<double>(plan.shards.size());
    query.startedAt = now;
    query.deadline = plan.deadline;
    return query;
}

void caller_api::startQuery(Query::query_request request, Platform::http_responder responder)
{
    const Core::time_point now = std::chrono::steady_clock::now();
    const auto document = m_daemon.configuration.current();
    const auto service = document->services.find(request.service);
    version_choice choice;
    if (service != document->services.end()) {
        choice = m_daemon.rollouts.choose(request.service, service->second, request.requestId);
    }
    Core::result<Query::query_plan> plan = Query::planQuery(*document, request, choice.version, now);
    if (!plan) {
        refuse(request, encodeRefusal(toHttpStatus(plan.error().code), request.requestId, plan.error().message),
               std::move(responder));
        return;
    }
    admitted_query admitted = describe(*document, plan.value(), now);
    admitted.choice = std::move(choice);
    if (plan.value().idempotent) {
        // Callers may choose the same id, so backend servers and branches get a generated id that is unique.
        plan.value().requestId = makeRequestId();
        submit(std::move(request), std::move(plan.value()), std::move(admitted), std::move(responder));
        return;
    }
    // Admission runs after the at-most-once registry: a retry of a request that has run must not be refused as not run.
    m_daemon.once->begin(request, std::move(responder), [&](Platform::http_responder started) {
        submit(request, plan.value(), admitted, std::move(started));
    });
}

void caller_api::refuse(const Query::query_request &request, const Platform::http_response &refusal,
                        Platform::http_responder responder)
{
    if (!Query::parseRequestIdentity(request.requestId)) {
        responder.respond(refusal);
        return;
    }
    // The same request may have run before its route or service was removed, so the registry is checked first.
    m_daemon.once->begin(request, std::move(responder), [&](Platform::http_responder started) {
        m_daemon.once->finish(request.requestId, refusal);
        started.respond(refusal);
    });
}

void caller_api::submit(Query::query_request request, Query::query_plan plan, admitted_query admitted,
                        Platform::http_responder responder)
{
    const auto once = plan.idempotent ? nullptr : m_daemon.once;
    if (const auto refused = m_daemon.admission.admit(admitted)) {
        const Platform::http_response response = encodeOverload(request.requestId, *refused);
        if (once != nullptr) {
            once->finish(request.requestId, response);
        }
        responder.respond(response);
        return;
    }
    // std::function requires a copyable target, so a shared pointer holds the responder.
    const auto shared = std::make_shared<Platform::http_responder>(std::move(responder));
    query_observation observation = beginObservation(m_daemon, request);
    query_task task;
    task.request = std::move(request);
    task.plan = std::move(plan);
    task.done = [this, observation = std::move(observation), shared, once, admitted = std::move(admitted),
                 callerRequestId = task.request.requestId](Query::query_result result) {
        result.requestId = callerRequestId;
        endObservation(m_daemon, observation, result);
        endAdmission(admitted, result);
        const Platform::http_response response = encodeResult(result);
        if (once != nullptr) {
            once->finish(callerRequestId, response);
        }
        shared->respond(response);
    };
    m_workers[m_nextWorker++ % m_workers.size()]->submit(std::move(task));
}

void caller_api::endAdmission(const admitted_query &admitted, const Query::query_result &result)
{
    const Core::time_point now = std::chrono::steady_clock::now();
    m_daemon.admission.end(admitted, result, now);
    m_daemon.rollouts.record(admitted.service, admitted.route, admitted.choice, result, now - admitted.startedAt,
                             std::chrono::system_clock::now());
}
