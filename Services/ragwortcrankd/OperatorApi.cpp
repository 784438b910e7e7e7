#include "OperatorApi.h"

#include "AnswerCodec.h"
#include "BearerKey.h"
#include "DaemonState.h"
#include "LibConfiguration/ChangeReport.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibConfiguration/PatchId.h"
#include "LibPlatform/HttpRequest.h"
#include "LibTeams/Authenticate.h"
#include "NumbersInForce.h"
#include "OperatorCodec.h"
#include "PatchWriter.h"

#include <charconv>
#include <memory>
#include <optional>
#include <utility>

operator_api::operator_api(daemon_state &daemon, patch_writer &writer)
    : m_daemon(daemon)
    , m_writer(writer)
{
}

void operator_api::handle(const Platform::http_request &request, Platform::http_responder responder)
{
    if (!Teams::secretsEqual(bearerKey(request), m_daemon.daemonSettings.operatorKey)) {
        responder.respond(encodeError(401, "the operator key is missing or wrong"));
        return;
    }
    if (request.path == "/v1/operator/configuration" && request.method == "GET") {
        readConfiguration(std::move(responder));
        return;
    }
    if (request.path == "/v1/operator/configuration" && request.method == "PATCH") {
        patchConfiguration(request, std::move(responder));
        return;
    }
    const std::string changes = "/v1/operator/changes/";
    if (request.path.starts_with(changes) && request.method == "GET") {
        reportChange(request.path.substr(changes.size()), std::move(responder));
        return;
    }
    if (request.path == "/v1/operator/status" && request.method == "GET") {
        responder.respond(
            encodeStatus(m_daemon.daemonSettings, m_daemon.configuration.current()->number, numbersInForce(m_daemon)));
        return;
    }
    if (request.path == "/v1/operator/accounts" && request.method == "GET") {
        reportAccounts(std::move(responder));
        return;
    }
    if (request.path == "/v1/operator/traces" && request.method == "GET") {
        reportTraces(std::move(responder));
        return;
    }
    const std::string rollouts = "/v1/operator/rollouts/";
    if (request.path.starts_with(rollouts) && request.method == "GET") {
        reportRollout(request.path.substr(rollouts.size()), std::move(responder));
        return;
    }
    responder.respond(encodeError(404, "no operator request " + request.method + " " + request.path));
}

void operator_api::readConfiguration(Platform::http_responder responder)
{
    Platform::http_response response;
    response.body = m_daemon.configuration.text();
    if (response.body.empty()) {
        response = encodeError(404, "no configuration is in force");
    }
    responder.respond(response);
}

static std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

void operator_api::reportChange(const std::string &numberText, Platform::http_responder responder)
{
    const std::optional<std::uint64_t> number = parseNumber(numberText);
    if (!number) {
        responder.respond(encodeError(400, "\"" + numberText + "\" is not a change number"));
        return;
    }
    responder.respond(encodeChange(
        Configuration::reportChange(*number, *m_daemon.configuration.current(), numbersInForce(m_daemon))));
}

void operator_api::reportAccounts(Platform::http_responder responder)
{
    if (!m_daemon.hooks.accountsText) {
        responder.respond(encodeError(503, "accounts are not kept by this daemon"));
        return;
    }
    Platform::http_response response;
    response.body = m_daemon.hooks.accountsText();
    responder.respond(response);
}

void operator_api::reportTraces(Platform::http_responder responder)
{
    Platform::http_response response;
    response.body = m_daemon.traces.toJson();
    responder.respond(response);
}

void operator_api::reportRollout(const std::string &name, Platform::http_responder responder)
{
    const auto document = m_daemon.configuration.current();
    const auto service = document->services.find(name);
    std::optional<std::string> report;
    if (service != document->services.end()) {
        report = m_daemon.rollouts.report(name, service->second, std::chrono::system_clock::now());
    }
    Platform::http_response response;
    response.body = report.value_or("");
    responder.respond(report ? response : encodeError(404, "service \"" + name + "\" has no rollout"));
}

void operator_api::patchConfiguration(const Platform::http_request &request, Platform::http_responder responder)
{
    const auto base = request.parameters.find("base");
    const auto patchId = request.parameters.find("patch_id");
    const std::optional<std::uint64_t> number =
        base == request.parameters.end() ? std::nullopt : parseNumber(base->second);
    if (!number || patchId == request.parameters.end() || patchId->second.empty()) {
        responder.respond(encodeError(400, "parameters \"base\" (a number) and \"patch_id\" are required"));
        return;
    }
    if (!Configuration::originalBaseNumber(patchId->second)) {
        responder.respond(encodeError(422, "the patch is not valid",
                                      {{"", "patch id \"" + patchId->second + "\" does not begin with a number"}}));
        return;
    }
    const auto shared = std::make_shared<Platform::http_responder>(std::move(responder));
    m_writer.submit({*number, patchId->second, request.body}, [shared](const Configuration::patch_answer &answer) {
        shared->respond(encodePatchAnswer(answer));
    });
}
