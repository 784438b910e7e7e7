#include "Commands.h"
#include "EditConfiguration.h"
#include "LibConfiguration/Parse.h"
#include "LibConfiguration/PatchId.h"
#include "Print.h"
#include "Session.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

DEFINE_uint64(base, 0, "number of the configuration that a patch file is made against");
DEFINE_string(patch_id, "", "identifier of the patch, to repeat it safely; empty: a new one");

static std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

static exit_code getConfiguration(session &current)
{
    const Platform::call_outcome outcome = current.client.send("GET", "/v1/operator/configuration");
    if (!isAnswered(outcome)) {
        return printFailure(outcome, false);
    }
    std::cout << outcome.response.body << '\n';
    return exit_code::Success;
}

static exit_code patchConfiguration(session &current, const std::string &path)
{
    const std::optional<std::string> patch = readFile(path);
    if (!patch) {
        return failUsage("cannot read file \"" + path + "\"");
    }
    const std::string id =
        FLAGS_patch_id.empty() ? Configuration::makePatchId(FLAGS_base, makeToken()) : FLAGS_patch_id;
    if (!Configuration::originalBaseNumber(id)) {
        return failUsage("--patch_id=" + id
                         + " must be a number, a hyphen, and 1 to 200 letters, digits, dots, hyphens and "
                           "underscores");
    }
    return sendPatch(current, FLAGS_base, id, *patch);
}

static exit_code validateFile(const std::string &path)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        return failUsage("cannot read file \"" + path + "\"");
    }
    const Configuration::parsed_document parsed = Configuration::parseDocument(*text);
    for (const Core::finding &finding : parsed.findings) {
        std::cerr << (finding.path.empty() ? "/" : finding.path) << ": " << finding.message << '\n';
    }
    return parsed.findings.empty() ? exit_code::Success : exit_code::Invalid;
}

exit_code runConfigCommand(session &current, const std::vector<std::string> &arguments)
{
    if (arguments.size() == 1 && arguments[0] == "get") {
        return getConfiguration(current);
    }
    if (arguments.size() == 2 && arguments[0] == "patch") {
        return patchConfiguration(current, arguments[1]);
    }
    if (arguments.size() == 2 && arguments[0] == "validate") {
        return validateFile(arguments[1]);
    }
    return failUsage("usage: ragwortcrankctl config get | patch FILE --base=NUMBER | validate FILE");
}
