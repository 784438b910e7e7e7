#include "LibConfiguration/ApplyPatch.h"

#include "LibConfiguration/Limits.h"
#include "LibConfiguration/MergePatch.h"
#include "LibConfiguration/Parse.h"
#include "LibConfiguration/PatchId.h"
#include "LibConfiguration/PatchRequest.h"
#include "LibConfiguration/Validate.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace Configuration
{
namespace json = boost::json;

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

/// Returns the configuration number that a patch produced, if the document still retains the patch's id. Each retained
/// id stands for exactly one number.
static std::optional<std::uint64_t> numberProducedBy(const configuration_document &document, const std::string &patchId)
{
    const std::vector<std::string> &ids = document.recentPatchIds;
    const auto found = std::find(ids.rbegin(), ids.rend(), patchId);
    if (found == ids.rend()) {
        return std::nullopt;
    }
    return document.number - static_cast<std::uint64_t>(found - ids.rbegin());
}

/// Records the configuration number that began a new rollout, and retains the previous rollout as the last one.
static void recordRolloutChange(const service_settings &before, service_settings &service, std::uint64_t number)
{
    const bool isSameRollout = before.rollout && service.rollout && before.rollout->number == service.rollout->number;
    service.lastRollout = isSameRollout || !before.rollout ? before.lastRollout : before.rollout;
    if (service.rollout) {
        service.rollout->change = isSameRollout ? before.rollout->change : number;
    }
}

/// Records the new configuration number in each rollout and data centre that the patch changed, so that a change report
/// can list them.
static void recordChangeNumbers(const configuration_document &current, configuration_document &next)
{
    for (auto &[name, dataCentre] : next.dataCentres) {
        const auto before = current.dataCentres.find(name);
        const bool existedBefore = before != current.dataCentres.end();
        const bool wasOut = existedBefore && before->second.out;
        const std::uint64_t previousChange = existedBefore ? before->second.change : 0;
        dataCentre.change = dataCentre.out == wasOut ? previousChange : next.number;
    }
    for (auto &[name, service] : next.services) {
        const auto before = current.services.find(name);
        recordRolloutChange(before == current.services.end() ? service_settings() : before->second, service,
                            next.number);
    }
}

static void finishDocument(patch_outcome &outcome, const configuration_document &current, configuration_document next,
                           const patch_request &request)
{
    next.number = current.number + 1;
    next.recentPatchIds.push_back(request.patchId);
    if (next.recentPatchIds.size() > maximumRecentPatchIds) {
        next.recentPatchIds.erase(next.recentPatchIds.begin());
    }
    recordChangeNumbers(current, next);
    outcome.text = serializeDocument(next);
    if (outcome.text.size() > maximumDocumentBytes) {
        outcome.findings.push_back({"",
                                    "the document would have " + std::to_string(outcome.text.size())
                                        + " bytes; at most " + std::to_string(maximumDocumentBytes) + " are allowed"});
        return;
    }
    outcome.verdict = patch_verdict::Applied;
    outcome.number = next.number;
    outcome.document = std::move(next);
}

/// Returns whether an id is older than the retained ids, so that the document cannot show if the patch was applied.
static bool isOlderThanRetainedIds(const configuration_document &document, std::uint64_t originalNumber)
{
    return originalNumber + document.recentPatchIds.size() < document.number;
}

static void applyToCurrentDocument(patch_outcome &outcome, const configuration_document &current,
                                   std::string_view currentText, const patch_request &request)
{
    boost::system::error_code error;
    const json::value patch = json::parse(request.patch, error);
    if (error) {
        outcome = invalid("", "the patch is not valid JSON: " + error.message());
        return;
    }
    checkReservedMembers(patch, outcome.findings);
    if (!outcome.findings.empty()) {
        return;
    }
    json::value merged =
        currentText.empty() ? json::value(json::object()) : json::parse({currentText.data(), currentText.size()});
    mergePatch(merged, patch);
    parsed_document next = parseDocument(json::serialize(merged));
    outcome.findings = std::move(next.findings);
    validateSuccessor(current, next.document, outcome.findings);
    if (outcome.findings.empty()) {
        finishDocument(outcome, current, std::move(next.document), request);
    }
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
    const std::optional<std::uint64_t> originalNumber = originalBaseNumber(request.patchId);
    if (!originalNumber || *originalNumber > request.baseNumber) {
        return invalid("",
                       "patch id \"" + request.patchId
                           + "\" must be the number it was first made against, a hyphen, and 1 to 200 letters, digits, "
                             "dots, hyphens and underscores");
    }
    if (const std::optional<std::uint64_t> producedNumber = numberProducedBy(current.document, request.patchId)) {
        outcome.verdict = patch_verdict::AlreadyApplied;
        outcome.number = *producedNumber;
    } else if (isOlderThanRetainedIds(current.document, *originalNumber)) {
        outcome.verdict = patch_verdict::IdExpired;
    } else if (request.baseNumber != current.document.number) {
        outcome.verdict = patch_verdict::StaleNumber;
    } else {
        applyToCurrentDocument(outcome, current.document, currentText, request);
    }
    return outcome;
}
} // namespace Configuration
