#include "LibConfiguration/ApplyPatch.h"

#include "LibConfiguration/Parse.h"
#include "LibConfiguration/PatchRequest.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace Configuration
{
namespace json = boost::json;

static constexpr std::size_t mostRecentPatchIds = 200;
static constexpr std::size_t mostDocumentBytes = 1'000'000; // The store holds values up to a megabyte.

/// RFC 7396, section 2.
static void mergePatch(json::value &target, const json::value &patch)
{
    if (!patch.is_object()) {
        target = patch;
        return;
    }
    if (!target.is_object()) {
        target = json::object();
    }
    for (const json::key_value_pair &member : patch.get_object()) {
        if (member.value().is_null()) {
            target.get_object().erase(member.key());
        } else {
            mergePatch(target.get_object()[member.key()], member.value());
        }
    }
}

static patch_outcome invalid(std::string path, std::string message)
{
    patch_outcome outcome;
    outcome.findings.push_back({std::move(path), std::move(message)});
    return outcome;
}

static void checkReservedMembers(const json::value &patch, std::vector<Core::finding> &findings)
{
    if (!patch.is_object()) {
        findings.push_back({"", "a patch must be an object"});
        return;
    }
    for (const char *name : {"number", "recent_patch_ids"}) {
        if (patch.get_object().contains(name)) {
            findings.push_back({std::string("/") + name, "is set by the system and must not be patched"});
        }
    }
}

static void finishDocument(patch_outcome &outcome, configuration_document document, const patch_request &request,
                           std::uint64_t number)
{
    document.number = number;
    document.recentPatchIds.push_back(request.patchId);
    if (document.recentPatchIds.size() > mostRecentPatchIds) {
        document.recentPatchIds.erase(document.recentPatchIds.begin());
    }
    outcome.text = serializeDocument(document);
    if (outcome.text.size() > mostDocumentBytes) {
        outcome.findings.push_back(
            {"",
             "the document would have " + std::to_string(outcome.text.size()) + " bytes; at most 1000000 are allowed"});
        return;
    }
    outcome.verdict = patch_verdict::Applied;
    outcome.number = number;
    outcome.document = std::move(document);
}

patch_outcome applyPatch(std::string_view currentText, const patch_request &request)
{
    const parsed_document current = currentText.empty() ? parsed_document() : parseDocument(currentText);
    if (!current.findings.empty()) {
        return invalid("",
                       "the stored document is not valid: " + current.findings.front().path + " "
                           + current.findings.front().message);
    }
    patch_outcome outcome;
    outcome.number = current.document.number;
    const std::vector<std::string> &ids = current.document.recentPatchIds;
    if (std::find(ids.begin(), ids.end(), request.patchId) != ids.end()) {
        outcome.verdict = patch_verdict::AlreadyApplied;
        return outcome;
    }
    if (request.baseNumber != current.document.number) {
        outcome.verdict = patch_verdict::StaleNumber;
        return outcome;
    }
    boost::system::error_code error;
    const json::value patch = json::parse(request.patch, error);
    if (error) {
        return invalid("", "the patch is not valid JSON: " + error.message());
    }
    checkReservedMembers(patch, outcome.findings);
    if (!outcome.findings.empty()) {
        return outcome;
    }
    json::value merged =
        currentText.empty() ? json::value(json::object()) : json::parse({currentText.data(), currentText.size()});
    mergePatch(merged, patch);
    parsed_document next = parseDocument(json::serialize(merged));
    outcome.findings = std::move(next.findings);
    if (outcome.findings.empty()) {
        finishDocument(outcome, std::move(next.document), request, current.document.number + 1);
    }
    return outcome;
}
} // namespace Configuration
