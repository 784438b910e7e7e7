#include "Commands.h"
#include "EditConfiguration.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "Print.h"
#include "Session.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <iostream>
#include <optional>
#include <utility>

DEFINE_int32(start_in, 0, "seconds from now to the start of a rollout");
DEFINE_int32(deadline_in, 1800, "seconds from now by which a good version has all traffic");

namespace json = boost::json;
using Configuration::configuration_document;
using Configuration::service_settings;

static std::int64_t secondsOf(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

static const char *stateOf(const service_settings &service)
{
    if (service.rollout->takenBack) {
        return "taken_back";
    }
    if (service.version == service.rollout->toVersion) {
        return "done";
    }
    const auto now = std::chrono::system_clock::now();
    if (now < service.rollout->start) {
        return "waiting";
    }
    return now < service.rollout->deadline ? "running" : "past_deadline";
}

/// Returns what the daemon that answers knows of a rollout, or nothing if it can't say.
static std::optional<json::object> readReport(session &current, const std::string &service)
{
    const Platform::call_outcome outcome = current.client.send("GET", "/v1/operator/rollouts/" + service);
    if (!isAnswered(outcome)) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const json::value report = json::parse(outcome.response.body, error);
    return error || !report.is_object() ? std::nullopt : std::optional(report.get_object());
}

/// Adds the verdict, which may be "bad" before the document says taken_back, the share and the evidence.
static void addReport(json::object &row, const json::object &report)
{
    if (const json::value *state = report.if_contains("state"); state != nullptr && *state == "bad") {
        row["state"] = *state;
    }
    for (const char *member : {"new_share", "evidence"}) {
        if (const json::value *value = report.if_contains(member)) {
            row[member] = *value;
        }
    }
}

static void printRollout(const json::object &row)
{
    std::cout << row.at("service").as_string() << "  rollout " << row.at("number") << "  "
              << row.at("from_version").as_string() << " -> " << row.at("to_version").as_string() << "  "
              << row.at("state").as_string() << '\n';
    for (const char *member : {"new_share", "evidence"}) {
        if (const json::value *value = row.if_contains(member)) {
            std::cout << "  " << member << ": " << json::serialize(*value) << '\n';
        }
    }
}

static exit_code showRollouts(session &current, const std::string &wanted)
{
    exit_code code = exit_code::Success;
    const auto document = readConfiguration(current, code);
    if (!document) {
        return code;
    }
    if (!wanted.empty() && !document->services.contains(wanted)) {
        return failUsage("service \"" + wanted + "\" does not exist");
    }
    json::array rows;
    for (const auto &[name, service] : document->services) {
        if (!service.rollout || (!wanted.empty() && name != wanted)) {
            continue;
        }
        json::object row {{"service", name},
                          {"number", service.rollout->number},
                          {"change", service.rollout->change},
                          {"from_version", service.rollout->fromVersion},
                          {"to_version", service.rollout->toVersion},
                          {"deadline", secondsOf(service.rollout->deadline)},
                          {"state", stateOf(service)}};
        if (const auto report = readReport(current, name)) {
            addReport(row, *report);
        }
        if (current.format == output_format::Text) {
            printRollout(row);
        }
        rows.push_back(std::move(row));
    }
    if (current.format == output_format::Json) {
        std::cout << json::serialize(rows) << '\n';
    }
    return code;
}

static const service_settings *findService(const configuration_document &document, const std::string &name)
{
    const auto found = document.services.find(name);
    if (found == document.services.end()) {
        std::cerr << "service \"" << name << "\" does not exist\n";
        return nullptr;
    }
    return &found->second;
}

static json::object servicePatch(const std::string &name, json::object members)
{
    return {{"services", json::object {{name, std::move(members)}}}};
}

/// Starts from the version that has the service's traffic. A rollout that still runs must end first.
static std::optional<json::object> makeStartPatch(const configuration_document &document, const std::string &name,
                                                  const std::string &version)
{
    const service_settings *service = findService(document, name);
    if (service == nullptr) {
        return std::nullopt;
    }
    std::string from = service->version;
    std::uint64_t number = 1;
    if (service->rollout) {
        const std::string state = stateOf(*service);
        if (state == "running" || state == "waiting") {
            std::cerr << "rollout " << service->rollout->number << " of service \"" << name << "\" is still " << state
                      << "; take it back first\n";
            return std::nullopt;
        }
        from = state == "past_deadline" ? service->rollout->toVersion : service->version;
        number = service->rollout->number + 1;
    } else if (service->lastRollout) {
        number = service->lastRollout->number + 1;
    }
    const auto now = std::chrono::system_clock::now();
    return servicePatch(name,
                        {{"version", from},
                         {"rollout",
                          json::object {{"number", number},
                                        {"from_version", from},
                                        {"to_version", version},
                                        {"start", secondsOf(now + std::chrono::seconds(FLAGS_start_in))},
                                        {"deadline", secondsOf(now + std::chrono::seconds(FLAGS_deadline_in))},
                                        {"taken_back", false}}}});
}

static std::optional<json::object> makeTakeBackPatch(const configuration_document &document, const std::string &name)
{
    const service_settings *service = findService(document, name);
    if (service == nullptr) {
        return std::nullopt;
    }
    if (!service->rollout) {
        std::cerr << "service \"" << name << "\" has no rollout\n";
        return std::nullopt;
    }
    return servicePatch(name, {{"rollout", json::object {{"taken_back", true}}}});
}

exit_code runRolloutCommand(session &current, const std::vector<std::string> &arguments)
{
    if (arguments.size() == 3 && arguments[0] == "start") {
        return editConfiguration(current, [&](const configuration_document &document) {
            return makeStartPatch(document, arguments[1], arguments[2]);
        });
    }
    if (!arguments.empty() && arguments.size() <= 2 && arguments[0] == "status") {
        return showRollouts(current, arguments.size() == 2 ? arguments[1] : "");
    }
    if (arguments.size() == 2 && arguments[0] == "take-back") {
        return editConfiguration(
            current, [&](const configuration_document &document) { return makeTakeBackPatch(document, arguments[1]); });
    }
    return failUsage("usage: ragwortcrankctl rollout start SERVICE VERSION | status [SERVICE] | take-back SERVICE");
}
