#include "EditConfiguration.h"

#include "LibConfiguration/Parse.h"
#include "LibConfiguration/PatchId.h"
#include "Print.h"
#include "Session.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <array>
#include <iostream>
#include <random>
#include <utility>

DEFINE_int32(retry, 0, "times to start over when the number is stale, for commands that make their own patch");

namespace json = boost::json;

static constexpr int mostSends = 3;

std::string makeToken()
{
    static constexpr char digits[] = "0123456789abcdef";
    constexpr int tokenDigits = 16;
    std::random_device source;
    std::string token;
    for (int index = 0; index < tokenDigits; ++index) {
        token += digits[source() % 16U];
    }
    return token;
}

std::optional<Configuration::configuration_document> readConfiguration(session &current, exit_code &code)
{
    const Platform::call_outcome outcome = current.client.send("GET", "/v1/operator/configuration");
    if (!isAnswered(outcome)) {
        code = printFailure(outcome, false);
        return std::nullopt;
    }
    Configuration::parsed_document parsed = Configuration::parseDocument(outcome.response.body);
    if (!parsed.findings.empty()) {
        std::cerr << "the daemon's configuration cannot be read: " << parsed.findings.front().path << ' '
                  << parsed.findings.front().message << '\n';
        code = exit_code::Failed;
        return std::nullopt;
    }
    return std::move(parsed.document);
}

static void printAccepted(const session &current, const std::string &body)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(body, error);
    if (current.format == output_format::Json || error || !parsed.is_object()
        || !parsed.get_object().contains("number")) {
        std::cout << body << '\n';
        return;
    }
    std::cout << "change " << json::serialize(parsed.get_object().at("number")) << " accepted\n";
}

exit_code sendPatch(session &current, std::uint64_t base, const std::string &patchId, const std::string &patch)
{
    const std::string path = "/v1/operator/configuration?base=" + std::to_string(base) + "&patch_id=" + patchId;
    Platform::call_outcome outcome;
    bool unanswered = false;
    for (int sent = 0; sent < mostSends; ++sent) {
        outcome = current.client.send("PATCH", path, patch);
        if (isAnswered(outcome)) {
            printAccepted(current, outcome.response.body);
            return exit_code::Success;
        }
        const bool lost =
            outcome.failure != Platform::call_failure::None && outcome.failure != Platform::call_failure::ConnectFailed;
        unanswered = unanswered || lost || outcome.response.status == 504;
        if (!lost && outcome.response.status != 504) {
            break;
        }
    }
    const exit_code code = printFailure(outcome, true);
    const bool settled = code == exit_code::Stale || code == exit_code::Invalid || !unanswered;
    if (!settled) {
        std::cerr << "an earlier send may have been accepted; repeat it with --base=" << base
                  << " --patch_id=" << patchId << '\n';
    }
    return settled ? code : exit_code::Unknown;
}

exit_code editConfiguration(session &current, const patch_maker &makePatch)
{
    std::string patchId;
    exit_code code = exit_code::Failed;
    for (int tried = 0; tried <= FLAGS_retry; ++tried) {
        const auto document = readConfiguration(current, code);
        if (!document) {
            return code;
        }
        const std::optional<json::object> patch = makePatch(*document);
        if (!patch) {
            return exit_code::Usage;
        }
        if (patchId.empty()) {
            patchId = Configuration::makePatchId(document->number, makeToken());
        }
        code = sendPatch(current, document->number, patchId, json::serialize(*patch));
        if (code != exit_code::Stale) {
            return code;
        }
    }
    return code;
}
