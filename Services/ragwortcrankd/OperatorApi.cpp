#include "OperatorApi.h"

#include "AnswerCodec.h"
#include "BearerKey.h"
#include "DaemonState.h"
#include "LibPlatform/HttpRequest.h"
#include "LibTeams/Authenticate.h"
#include "PatchWriter.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <memory>
#include <optional>
#include <utility>

namespace json = boost::json;

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

static Platform::http_response encodeOutcome(const Core::result<Configuration::patch_outcome> &outcome)
{
    if (!outcome) {
        const bool lost = outcome.error().code == Core::error_code::TimedOut;
        return encodeError(lost ? 504 : 503, outcome.error().message);
    }
    const Configuration::patch_outcome &value = outcome.value();
    switch (value.verdict) {
    case Configuration::patch_verdict::Applied:
    case Configuration::patch_verdict::AlreadyApplied: {
        Platform::http_response response;
        response.body = json::serialize(json::object {{"number", value.number}, {"state", "accepted"}});
        return response;
    }
    case Configuration::patch_verdict::StaleNumber:
        return encodeError(409, "the base number is stale; the current number is " + std::to_string(value.number));
    case Configuration::patch_verdict::Invalid:
        break;
    }
    return encodeError(422, "the patch is not valid", value.findings);
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
    const auto shared = std::make_shared<Platform::http_responder>(std::move(responder));
    m_writer.submit({*number, patchId->second, request.body},
                    [shared](const Core::result<Configuration::patch_outcome> &outcome) {
                        shared->respond(encodeOutcome(outcome));
                    });
}
