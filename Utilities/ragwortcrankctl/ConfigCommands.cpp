#include "ConfigCommands.h"

#include "LibConfiguration/Parse.h"
#include "LibConfiguration/PatchId.h"
#include "OperatorClient.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <random>

DEFINE_uint64(base, 0, "number of the configuration that a patch is made against");
DEFINE_string(patch_id, "", "identifier of the patch, to repeat it safely; empty: a new one");

static std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << "cannot read file \"" << path << "\"\n";
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

static exit_code codeOfStatus(int status)
{
    switch (status) {
    case 200:
        return exit_code::Success;
    case 409:
        return exit_code::Stale;
    case 422:
        return exit_code::Invalid;
    case 504:
        return exit_code::Unknown;
    default:
        return exit_code::Failed;
    }
}

static exit_code printOutcome(const Platform::call_outcome &outcome)
{
    if (outcome.failure == Platform::call_failure::ConnectFailed) {
        std::cerr << "the daemon cannot be reached\n";
        return exit_code::Unreachable;
    }
    if (outcome.failure != Platform::call_failure::None) {
        std::cerr << "the daemon gave no answer; the request may have taken effect\n";
        return exit_code::Unknown;
    }
    std::ostream &stream = outcome.response.status == 200 ? std::cout : std::cerr;
    stream << outcome.response.body << '\n';
    return codeOfStatus(outcome.response.status);
}

static exit_code patchConfiguration(operator_client &client, const std::string &file)
{
    const std::optional<std::string> patch = readFile(file);
    if (!patch) {
        return exit_code::Usage;
    }
    std::random_device source;
    const std::string id =
        FLAGS_patch_id.empty() ? Configuration::makePatchId(FLAGS_base, std::to_string(source())) : FLAGS_patch_id;
    return printOutcome(client.send(
        "PATCH", "/v1/operator/configuration?base=" + std::to_string(FLAGS_base) + "&patch_id=" + id, *patch));
}

static exit_code validateFile(const std::string &path)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        return exit_code::Usage;
    }
    const Configuration::parsed_document parsed = Configuration::parseDocument(*text);
    for (const Core::finding &finding : parsed.findings) {
        std::cerr << (finding.path.empty() ? "/" : finding.path) << ": " << finding.message << '\n';
    }
    return parsed.findings.empty() ? exit_code::Success : exit_code::Invalid;
}

exit_code runConfigCommand(operator_client &client, const std::vector<std::string> &arguments)
{
    if (arguments.size() == 1 && arguments[0] == "get") {
        return printOutcome(client.send("GET", "/v1/operator/configuration"));
    }
    if (arguments.size() == 2 && arguments[0] == "patch") {
        return patchConfiguration(client, arguments[1]);
    }
    if (arguments.size() == 2 && arguments[0] == "validate") {
        return validateFile(arguments[1]);
    }
    std::cerr << "usage: ragwortcrankctl config get | patch FILE --base=NUMBER | validate FILE\n";
    return exit_code::Usage;
}
